import { createHash } from "node:crypto";

import { RequestFingerprint } from "./RequestFingerprint.js";

const HEX_DIGITS = 32;

/**
 * Computes the fingerprint of a request.
 *
 * @param parts everything that identifies the request, in a fixed order; the organisation comes first, so that requests
 *     of different organisations never have the same fingerprint
 */
export function fingerprintOf(parts: readonly (string | Uint8Array)[]): RequestFingerprint {
    const hash = createHash("sha256");
    parts.forEach(part => {
        const bytes = Buffer.from(part);
        hash.update(`${bytes.length}:`).update(bytes);
    });
    return RequestFingerprint.parse(hash.digest("hex").slice(0, HEX_DIGITS));
}
