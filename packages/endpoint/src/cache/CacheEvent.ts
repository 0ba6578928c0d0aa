import type { Incarnation, PieceHash } from "@azureshunt/core";

/** One change of an engine's cache, as the engine published it. */
export type CacheEvent = {
    readonly incarnation: Incarnation;
    /** By one from 1 for each incarnation. */
    readonly seq: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly hashes: readonly PieceHash[];
};
