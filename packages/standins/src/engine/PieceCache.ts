/** Cached pieces of prompts by hash, least recently used first, with the time of their last use. */
export type PieceCache = ReadonlyMap<string, number>;
