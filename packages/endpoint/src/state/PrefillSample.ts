import type { Millis } from "@azureshunt/core";

/** One observation of an engine's speed. */
export type PrefillSample = {
    readonly at: Millis;
    /** Milliseconds for one token of a prompt. */
    readonly msPerToken: number;
};
