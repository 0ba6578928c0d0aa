import type { Millis, Tokens } from "@azureshunt/core";

/** This VM's own part of an endpoint's load, from a point in time until the next entry. */
export type OwnLoad = {
    readonly from: Millis;
    /** Number of dispatches in flight. */
    readonly count: number;
    /** Prompt tokens of dispatches without a first token. */
    readonly tokens: Tokens;
};
