import { createHash } from "node:crypto";

/** Digest of a key as the configuration holds it: SHA-256 in hexadecimal. Keys are random, so no salt is needed. */
export function digestOf(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}
