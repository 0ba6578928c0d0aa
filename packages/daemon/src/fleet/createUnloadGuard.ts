import type { Millis } from "@azureshunt/core";
import type { Weights } from "@azureshunt/fleet";

/** Remembers when weights were last asked for, so that they are unloaded only when no request can want them. */
type UnloadGuard = {
    /** Tells that new requests may still get these weights. */
    readonly noteUse: (weights: Weights, now: Millis) => void;
    /** Whether the grace is over since the last use, or since the first question. */
    readonly mayUnload: (weights: Weights, now: Millis) => boolean;
};

const keyOf = ({ model, adapter, version }: Weights): string => JSON.stringify([model, adapter, version]);

/**
 * Makes the guard of old weights.
 *
 * Failure: a request is resolved to a version, waits in a queue, and finds the version gone from every engine. It shows
 * as a refused or broken request during a release. Guard: weights stay for a grace longer than a request may wait after
 * the last time that this daemon saw them in use; a daemon that just began to order counts from its first look.
 */
export function createUnloadGuard(graceMs: Millis): UnloadGuard {
    const lastUse = new Map<string, Millis>();
    return {
        noteUse: (weights, now) => void lastUse.set(keyOf(weights), now),
        mayUnload: (weights, now) => {
            const key = keyOf(weights);
            const since = lastUse.get(key) ?? now;
            lastUse.set(key, since);
            return now - since > graceMs;
        },
    };
}
