import type { Sequence } from "./Sequence.js";

/** Requests in an engine: `running` in the shared batch, or `waiting` for a place in it. */
export type Batch = {
    readonly running: readonly Sequence[];
    readonly waiting: readonly Sequence[];
};
