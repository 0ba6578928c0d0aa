import type { Millis } from "@azureshunt/core";

/** Maximum age of the configuration by what a request needs it for. */
export type FreshnessBounds = {
    /** A key that was withdrawn longer ago must no longer be accepted. */
    readonly maxAgeForKeysMs: Millis;
    /** A route or key that was added longer ago must be known before a caller is told that it does not exist. */
    readonly maxAgeForDenialMs: Millis;
};
