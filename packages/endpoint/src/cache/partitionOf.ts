import type { PieceHash } from "@azureshunt/core";

const DIGITS = 8;

/**
 * Tells which partition of a failure domain's prefix index holds a chain. All pieces of a chain lie in the partition of
 * its first piece, so one partition answers for a whole prompt.
 *
 * @param firstPiece hash of the chain's first piece
 * @param partitions how many partitions the index has
 * @returns a number from 0 to `partitions` − 1
 */
export function partitionOf(firstPiece: PieceHash, partitions: number): number {
    return Number.parseInt(firstPiece.slice(0, DIGITS), 16) % partitions;
}
