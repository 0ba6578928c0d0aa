import { createHash } from "node:crypto";

import { RequestFingerprint } from "./RequestFingerprint.js";

const HEX_DIGITS = 32;

/**
 * Digests what a request asks for.
 *
 * @param parts everything that makes the request what it is, in a fixed order; the organisation goes first, so that one
 *     organisation's request never stands for another's
 */
export function fingerprintOf(parts: readonly (string | Uint8Array)[]): RequestFingerprint {
    const hash = createHash("sha256");
    parts.forEach(part => {
        const bytes = Buffer.from(part);
        hash.update(`${bytes.length}:`).update(bytes);
    });
    return RequestFingerprint.parse(hash.digest("hex").slice(0, HEX_DIGITS));
}
