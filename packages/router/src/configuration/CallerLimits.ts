import type { Millis } from "@azureshunt/core";

/** Size and time limits for callers' requests. */
export type CallerLimits = {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: Millis;
    /** Maximum idle time of a caller's connection. */
    readonly idleTimeoutMs: Millis;
};
