import type { Millis } from "@azureshunt/core";
import type { Weights } from "@azureshunt/fleet";

/** Tracks the last use of weights, so that they are unloaded only when no request can need them. */
type UnloadGuard = {
    /** Records that new requests may still be given these weights. */
    readonly recordUse: (weights: Weights, now: Millis) => void;
    /** Returns whether the grace period since the last use has elapsed; without a use, since the first call. */
    readonly mayUnload: (weights: Weights, now: Millis) => boolean;
};

const keyOf = ({ model, adapter, version }: Weights): string => JSON.stringify([model, adapter, version]);

/**
 * Creates the guard against unloading old weights too early.
 *
 * A request may be resolved to a version, wait in a queue, and then find that no engine holds the version any more.
 * Symptom: a refused or broken request during a release. To prevent this, weights stay loaded after their last use seen by
 * this daemon for a grace period, which is longer than a request may wait. A daemon that has just started to send orders
 * measures the period from its first check.
 */
export function createUnloadGuard(graceMs: Millis): UnloadGuard {
    const lastUse = new Map<string, Millis>();
    return {
        recordUse: (weights, now) => void lastUse.set(keyOf(weights), now),
        mayUnload: (weights, now) => {
            const key = keyOf(weights);
            const usedAt = lastUse.get(key) ?? now;
            lastUse.set(key, usedAt);
            return now - usedAt > graceMs;
        },
    };
}
