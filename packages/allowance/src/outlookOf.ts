import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { claimedBefore } from "./claimedBefore.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { Outlook } from "./Outlook.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

const EMPTY_OUTLOOK: Outlook = {
    isInformed: true,
    isTakingOver: false,
    free: 0,
    recallable: 0,
    unmet: 0,
    rate: 0,
    unreachableBurst: 0,
    unreachableRate: 0,
};

const ownOutlook = (allowance: Allowance, now: Millis): Outlook => {
    const { bucket } = allowance;
    if (bucket === undefined) {
        return EMPTY_OUTLOOK;
    }
    const unmet = claimedBefore(bucket, allowance.waiters[0]?.since ?? now, undefined, now);
    return { ...EMPTY_OUTLOOK, recallable: outstandingOf(bucket), unmet, rate: bucket.limits.rate };
};

/** A home that does not serve yet may do so shortly; one that keeps declining is waiting for grants to expire. */
const takeoverOutlook = ({ limits }: Home, since: Millis, now: Millis): Outlook => ({
    ...EMPTY_OUTLOOK,
    isInformed: since + timing.maxWaitMs <= now,
    isTakingOver: since + timing.takeoverMs > now,
    unreachableBurst: limits.burst,
    unreachableRate: limits.rate,
});

/** Returns whether a home is unreachable: one that did not answer stays so while it is asked again. */
const isUnreachable = ({ failedAt, pendingSince }: HeldGrant, now: Millis): boolean =>
    failedAt !== undefined && (failedAt + timing.unreachableMs > now || pendingSince !== undefined);

const homeOutlook = (home: Home, held: HeldGrant | undefined, now: Millis): Outlook => {
    const { rate, burst } = home.limits;
    if (held?.decliningSince !== undefined) {
        return takeoverOutlook(home, held.decliningSince, now);
    }
    if (held !== undefined && isUnreachable(held, now)) {
        return { ...EMPTY_OUTLOOK, unreachableBurst: burst, unreachableRate: rate };
    }
    if (held === undefined || held.answeredAt + timing.freshMs <= now) {
        return { ...EMPTY_OUTLOOK, isInformed: false, rate, free: burst };
    }
    const accrued = held.rate * (now - held.answeredAt) / MS_PER_SECOND;
    const { elsewhere: recallable, unmet } = held;
    return { ...EMPTY_OUTLOOK, free: Math.min(burst, held.free + accrued), recallable, unmet, rate: held.rate };
};

/** Sums up the homes' latest answers; a home that recently failed to answer counts as unreachable. */
export function outlookOf(allowance: Allowance, now: Millis): Outlook {
    const own = allowance.servesFrom === undefined ? [] : [ownOutlook(allowance, now)];
    const others = allowance.homes
        .filter(home => home.vm !== allowance.vm)
        .map(home => homeOutlook(home, allowance.held.find(held => held.home === home.vm), now));
    const barred = allowance.homes
        .filter(home => home.vm === allowance.vm && allowance.servesFrom === undefined)
        .map(home => takeoverOutlook(home, allowance.barredSince ?? now, now));
    // Right after the start of the process no home is known yet.
    const initial = { ...EMPTY_OUTLOOK, isInformed: allowance.homes.length > 0, isTakingOver: true };
    return [...own, ...others, ...barred].reduce((sum, one) => ({
        isInformed: sum.isInformed && one.isInformed,
        // An unreachable home has not just taken over, so waiting for the others would not help.
        isTakingOver: sum.isTakingOver && one.isTakingOver,
        free: sum.free + one.free,
        recallable: sum.recallable + one.recallable,
        // A request that waits elsewhere asks several homes for the same tokens, so the sum would count it twice.
        unmet: Math.max(sum.unmet, one.unmet),
        rate: sum.rate + one.rate,
        unreachableBurst: sum.unreachableBurst + one.unreachableBurst,
        unreachableRate: sum.unreachableRate + one.unreachableRate,
    }), initial);
}
