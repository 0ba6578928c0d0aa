import type { Millis, Tokens } from "@azureshunt/core";

import type { PeerLiveness } from "./PeerLiveness.js";

/** Fraction of the burst that all VMs together may spend ahead of the refill after they have all restarted. */
const OVERDRAFT_FRACTION = 0.5;
/** Time in which the overdraft shrinks to 0: slow enough for an organisation near its rate to pay it back. */
const FADE_MS = 10_000;

/** What decides how far a new process may overdraw an allowance. */
type OverdraftView = {
    readonly burst: Tokens;
    /** Time since this process opened the allowance. */
    readonly ageMs: Millis;
    readonly liveness: Omit<PeerLiveness, "propagationMs">;
};

/**
 * Returns how far a new process may overdraw an allowance, in tokens.
 *
 * Under load: if all VMs restart at once under full traffic, their buckets are empty, and until their first beacons
 * each refills at its share of the rate only, so that organisations within their rate would be refused for a second or
 * two. What is overdrawn is paid back by the refill, so over a longer time the rate still holds.
 *
 * Limitation: each VM computes its share from the list of VMs, so one restart of all VMs admits at most half a burst
 * more. A VM that has not read the list cannot know its share and may not overdraw.
 */
export function overdraftOf({ burst, ageMs, liveness }: OverdraftView): Tokens {
    const left = Math.max(0, 1 - ageMs / FADE_MS);
    return liveness.isPartial === true ? 0 : OVERDRAFT_FRACTION * burst * left / (liveness.peers + 1);
}
