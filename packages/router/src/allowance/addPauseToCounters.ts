import type { Millis } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Takes a time in which this process did not run off the age of the counters that it has received. If they expired, what
 * the other VMs spent meanwhile would not be debited, although the rate of that time is refilled.
 */
export function addPauseToCounters(allowance: SharedAllowance, ms: Millis, now: Millis): SharedAllowance {
    const peers = [...allowance.peers].map(([spender, peer]) => {
        const counters = [...peer.counters].map(([incarnation, counter]) => {
            const receivedAt = Math.min(now, counter.receivedAt + ms);
            const pausedMs = (counter.pausedMs ?? 0) + receivedAt - counter.receivedAt;
            return [incarnation, { ...counter, receivedAt, pausedMs }] as const;
        });
        return [spender, { ...peer, counters: new Map(counters) }] as const;
    });
    return { ...allowance, peers: new Map(peers) };
}
