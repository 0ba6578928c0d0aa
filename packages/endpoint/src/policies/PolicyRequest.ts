import type { PieceHash } from "@azureshunt/core";

/** What a policy knows of a request besides its candidates. */
export type PolicyRequest = {
    readonly pieces: readonly PieceHash[];
    /** Number of choices made before; it stands in for chance, so that a policy stays a pure function. */
    readonly turn: number;
    /** Uniform in [0, 1). */
    readonly random: number;
};
