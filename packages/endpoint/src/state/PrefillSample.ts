import type { Millis } from "@azureshunt/core";

/** One observation of an engine's prefill speed. */
export type PrefillSample = {
    readonly at: Millis;
    /** Prefill time per prompt token. */
    readonly msPerToken: number;
};
