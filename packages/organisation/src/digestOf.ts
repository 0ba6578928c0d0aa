import { createHash } from "node:crypto";

/**
 * Returns the digest of a key as stored in the configuration: SHA-256 in hexadecimal. Keys are random, so no salt is
 * needed.
 */
export function digestOf(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}
