import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";
import { usableTokens } from "./usableTokens.js";

const holdsNothing = (allowance: Allowance, now: Millis): boolean =>
    allowance.held.every(held =>
        usableTokens(held, now) === 0 && held.pendingSince === undefined && held.refunds.length === 0
    );

const bucketIsFull = ({ bucket }: Allowance): boolean =>
    bucket === undefined || (bucket.balance >= bucket.limits.burst && outstandingOf(bucket) === 0);

/**
 * Returns whether an organisation's allowance may be forgotten here. A bucket that is opened again holds the tokens
 * accrued since `servesFrom`, so a bucket may be forgotten only if it is full and would be full when opened again.
 */
export function isIdle(allowance: Allowance, now: Millis): boolean {
    const { bucket, servesFrom } = allowance;
    const msToFill = bucket === undefined || bucket.limits.rate === 0
        ? 0
        : bucket.limits.burst * 1_000 / bucket.limits.rate;
    const opensFull = bucket === undefined || (servesFrom !== undefined && now - servesFrom >= msToFill);
    return allowance.waiters.length === 0 && allowance.inFlight === 0 && allowance.debt === 0 &&
        allowance.spentAt + timing.idleMs < now && holdsNothing(allowance, now) && bucketIsFull(allowance) && opensFull;
}
