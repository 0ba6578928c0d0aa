import type { Millis, Tokens } from "@azureshunt/core";

/** This VM's own part of an endpoint's load from a time on. */
export type OwnLoad = {
    readonly from: Millis;
    /** Dispatches not ended. */
    readonly count: number;
    /** Tokens of prompts not yet computed. */
    readonly tokens: Tokens;
};
