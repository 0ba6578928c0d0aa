import { createHash } from "node:crypto";

import type { PieceHash } from "./PieceHash.js";
import type { Tokens } from "./Tokens.js";

const BYTES_PER_TOKEN = 4;
const HASH_DIGITS = 32;

const hashAfter = (before: string, piece: Uint8Array): string =>
    createHash("sha256").update(before).update(piece).digest("hex").slice(0, HASH_DIGITS);

/**
 * Splits a rendered prompt into pieces and hashes each piece together with all pieces before it. A remainder shorter
 * than a piece has no hash, as engines cache only complete pieces.
 *
 * @param salt from `cacheSalt`
 * @param prompt from `renderPrompt`
 * @param pieceTokens size of a piece
 * @returns one hash per piece, in order
 */
export function pieceHashes(salt: string, prompt: string, pieceTokens: Tokens): readonly PieceHash[] {
    const bytes = Buffer.from(prompt);
    const size = pieceTokens * BYTES_PER_TOKEN;
    const count = Math.floor(bytes.length / size);
    const seed = salt.slice(0, HASH_DIGITS);
    return Array.from({ length: count }, (_, i) => bytes.subarray(i * size, (i + 1) * size))
        .reduce<string[]>((hashes, piece) => {
            hashes.push(hashAfter(hashes.at(-1) ?? seed, piece));
            return hashes;
        }, [])
        .map(hash => hash as PieceHash);
}
