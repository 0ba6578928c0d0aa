import type { Millis } from "@azureshunt/core";

/** A request body that waits to be read. */
export type WaitingBody = {
    /** What is reserved for it. */
    readonly bytes: number;
    /** Whose request it is; `undefined` for all callers without a valid key. */
    readonly organisation: string | undefined;
    /** By when its answer must be whole. */
    readonly deadline: Millis;
};
