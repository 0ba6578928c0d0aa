import type { Millis, Tokens } from "@azureshunt/core";

import { addedSpending } from "./addedSpending.js";
import { isExpired } from "./isExpired.js";
import { isStartedLater } from "./isStartedLater.js";
import type { SentCounter } from "./SentCounter.js";
import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Returns the tokens that a received counter adds, including those already assumed; below 0 if tokens were refunded.
 *
 * A restarted VM counts from 0. Compared with the counter of the process before, the lower value would be a refund of
 * all that the VM had spent. Symptom: after a restart, an organisation gets a whole burst beyond its rate. To prevent
 * this, a counter is compared only with earlier values of the same process, whichever beacons were lost, without rows
 * or final in between.
 */
export function addedByCounter(allowance: SharedAllowance, sent: SentCounter, now: Millis): Tokens {
    const { spender, incarnation, upMs, spent } = sent;
    const peer = allowance.peers.get(spender);
    const expires = (receivedAt: Millis): boolean => isExpired({ assumedFrom: peer?.assumedFrom, receivedAt }, now);
    const known = peer?.counters.get(incarnation);
    const before = known === undefined || expires(known.receivedAt) ? undefined : known.spent;
    /** When the VM's other processes were last received, as far as nothing came in other ways since then. */
    const others = [...peer?.counters.values() ?? []]
        .filter(({ receivedAt }) => !expires(receivedAt))
        .map(({ receivedAt, pausedMs = 0 }) => receivedAt - pausedMs);
    const isSuccessor = others.length > 0 && others.every(at => upMs <= now - at);
    const isNew = known === undefined && (isStartedLater(allowance, upMs, now) || isSuccessor);
    return addedSpending(before, spent, isNew);
}
