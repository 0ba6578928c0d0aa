import type { PieceHash } from "@azureshunt/core";

const DIGITS = 32;

/** Unpacks hashes of pieces from 16 bytes each; a rest shorter than that is left out. */
export function unpackHashes(bytes: Uint8Array): readonly PieceHash[] {
    const digits = Buffer.from(bytes).toString("hex");
    return Array.from(
        { length: Math.floor(digits.length / DIGITS) },
        (_, i) => digits.slice(i * DIGITS, (i + 1) * DIGITS) as PieceHash,
    );
}
