import type { Incarnation, PieceHash } from "@azureshunt/core";

/** Complete contents of an engine's cache after its event number `seq`. */
export type CacheSnapshot = {
    readonly incarnation: Incarnation;
    readonly seq: number;
    readonly hashes: readonly PieceHash[];
};
