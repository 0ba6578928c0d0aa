import type { Millis } from "@azureshunt/core";

/** What a caller may send, and how long it may take. */
export type CallerLimits = {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: Millis;
    /** How long a connection may stay open without a request. */
    readonly idleTimeoutMs: Millis;
};
