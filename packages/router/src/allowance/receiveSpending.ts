import type { Millis } from "@azureshunt/core";

import { addedByCounter } from "./addedByCounter.js";
import { EXPIRY_MS } from "./EXPIRY_MS.js";
import type { SentCounter } from "./SentCounter.js";
import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Debits what a counter adds; see `addedByCounter`. Spending that was already assumed while the spender was silent is
 * not debited twice; what was assumed beyond the counter is not given back. The counter shrinks if tokens are refunded.
 */
export function receiveSpending(
    allowance: SharedAllowance,
    sent: SentCounter,
    now: Millis = allowance.at,
): SharedAllowance {
    const { spender, incarnation, spent } = sent;
    const peer = allowance.peers.get(spender);
    const known = peer?.counters.get(incarnation);
    if (known?.spent === spent && peer?.assumed === 0 && now - known.receivedAt < EXPIRY_MS / 2) {
        // Fast path: most VMs have spent nothing for most organisations since their last beacon. `receivedAt` stays, so
        // it must be renewed before the counter expires.
        return allowance;
    }
    const added = addedByCounter(allowance, sent, now);
    const debit = added < 0 ? added : Math.max(0, added - (peer?.assumed ?? 0));
    const kept = [...peer?.counters ?? []].filter(([, { receivedAt }]) => now - receivedAt <= EXPIRY_MS);
    const counters = new Map(kept).set(incarnation, { spent, receivedAt: now });
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level - debit),
        peers: new Map(allowance.peers).set(spender, { counters, assumed: 0, assumedFrom: undefined }),
    };
}
