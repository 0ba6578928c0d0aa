import type { PieceHash } from "@azureshunt/core";

const HEX_DIGITS = 32;

/** Unpacks hashes of pieces from 16 bytes each; a shorter remainder is ignored. */
export function unpackHashes(bytes: Uint8Array): readonly PieceHash[] {
    const digits = Buffer.from(bytes).toString("hex");
    return Array.from(
        { length: Math.floor(digits.length / HEX_DIGITS) },
        (_, i) => digits.slice(i * HEX_DIGITS, (i + 1) * HEX_DIGITS) as PieceHash,
    );
}
