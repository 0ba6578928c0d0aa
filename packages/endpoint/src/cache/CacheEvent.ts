import type { Incarnation, PieceHash } from "@azureshunt/core";

/** One change of an engine's cache, as published by the engine. */
export type CacheEvent = {
    readonly incarnation: Incarnation;
    /** Counts from 1 within an incarnation, without gaps. */
    readonly seq: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly hashes: readonly PieceHash[];
};
