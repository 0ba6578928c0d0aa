import type { Millis, Tokens } from "@azureshunt/core";

import type { Hearing } from "./Hearing.js";

/** Part of the burst that all VMs together may go ahead of the refill after they have all restarted. */
const OVERDRAFT_PART = 0.5;
/** Time in which the overdraft shrinks to nothing: slowly enough that an organisation near its rate pays it back. */
const FADE_MS = 10_000;

/** What decides how far a new process may overdraw an allowance. */
type OverdraftView = {
    readonly burst: Tokens;
    /** How long ago this process opened the allowance. */
    readonly ageMs: Millis;
    readonly hearing: Omit<Hearing, "newsMs">;
};

/**
 * Says how far a new process may overdraw an allowance.
 *
 * Load: all VMs restart at once under full traffic. Their buckets are empty, and until their first beacons each refills
 * at its share of the rate alone, so that organisations within their rate are refused for a second or two. What is
 * overdrawn is paid back by the refill, so over a longer time the rate still holds.
 *
 * Limit: each VM gets its share by the list of VMs, so one restart of all lets through half a burst more at most. A VM
 * that has not read the list cannot know its share and gets none.
 */
export function overdraftOf({ burst, ageMs, hearing }: OverdraftView): Tokens {
    const left = Math.max(0, 1 - ageMs / FADE_MS);
    return hearing.isPartial === true ? 0 : OVERDRAFT_PART * burst * left / (hearing.peers + 1);
}
