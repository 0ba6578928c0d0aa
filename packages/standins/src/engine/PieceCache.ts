/** Time of last use of each cached prompt piece by its hash, least recently used first. */
export type PieceCache = ReadonlyMap<string, number>;
