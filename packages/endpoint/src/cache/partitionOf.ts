import type { PieceHash } from "@azureshunt/core";

const DIGITS = 8;

/**
 * Returns the partition of a failure domain's prefix index that holds a chain. All pieces of a chain are in the
 * partition of its first piece, so a lookup for a whole prompt needs only one partition.
 *
 * @param firstPiece hash of the chain's first piece
 * @param partitions number of partitions of the index
 * @returns number from 0 to `partitions` − 1
 */
export function partitionOf(firstPiece: PieceHash, partitions: number): number {
    return Number.parseInt(firstPiece.slice(0, DIGITS), 16) % partitions;
}
