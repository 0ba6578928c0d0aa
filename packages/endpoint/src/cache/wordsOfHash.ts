import type { PieceHash } from "@azureshunt/core";

import type { HashWords } from "./HashWords.js";

const DIGITS_PER_WORD = 8;

const wordAt = (hash: PieceHash, word: number): number =>
    Number.parseInt(hash.slice(word * DIGITS_PER_WORD, (word + 1) * DIGITS_PER_WORD), 16);

/** Splits the 128-bit hash of a piece into four words. */
export function wordsOfHash(hash: PieceHash): HashWords {
    return [wordAt(hash, 0), wordAt(hash, 1), wordAt(hash, 2), wordAt(hash, 3)];
}
