import type { PieceHash } from "@azureshunt/core";

/** What a policy knows about a request besides its candidates. */
export type PolicyRequest = {
    readonly pieces: readonly PieceHash[];
    /** Number of previous choices, used instead of state or chance so that a policy is a pure function. */
    readonly turn: number;
    /** Uniform in [0, 1). */
    readonly random: number;
};
