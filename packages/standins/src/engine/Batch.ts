import type { Sequence } from "./Sequence.js";

/** The requests in an engine: those in the shared batch, and those that wait for a place in it. */
export type Batch = {
    readonly running: readonly Sequence[];
    readonly waiting: readonly Sequence[];
};
