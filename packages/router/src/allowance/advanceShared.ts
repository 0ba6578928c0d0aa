import type { Millis } from "@azureshunt/core";

import { overdraftOf } from "./overdraftOf.js";
import type { PeerLiveness } from "./PeerLiveness.js";
import type { SharedAllowance } from "./SharedAllowance.js";

const MS_PER_SECOND = 1_000;

const neverReceived = { counters: new Map<never, never>(), assumed: 0, assumedFrom: undefined };

/**
 * Advances an allowance to `now`: refills it and assumes spending of silent VMs.
 *
 * If a failure domain is cut off, both sides continue, and together they would spend twice the rate. To prevent this,
 * each silent VM is assumed to spend an even share of the rate, so that the refills of both sides add up to the rate. A
 * spender that stands for several silent VMs is recorded with one share only.
 */
export function advanceShared(
    allowance: SharedAllowance,
    liveness: Omit<PeerLiveness, "propagationMs">,
    now: Millis,
): SharedAllowance {
    const seconds = Math.max(0, now - allowance.at) / MS_PER_SECOND;
    const share = allowance.ratePerSecond * seconds / (liveness.peers + 1);
    const refill = share * (liveness.peers + 1 - liveness.silent.length);
    const assumed = liveness.silent.map(spender => {
        const known = allowance.peers.get(spender) ?? neverReceived;
        return [spender, {
            ...known,
            assumed: known.assumed + share,
            assumedFrom: known.assumedFrom ?? allowance.at,
        }] as const;
    });
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level + refill),
        at: now,
        overdraft: overdraftOf({ burst: allowance.burst, ageMs: now - allowance.openedAt, liveness }),
        peers: assumed.length === 0 ? allowance.peers : new Map([...allowance.peers, ...assumed]),
    };
}
