import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { claimedBefore } from "./claimedBefore.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { Outlook } from "./Outlook.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

const NOTHING: Outlook = {
    informed: true,
    settling: false,
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
        return NOTHING;
    }
    const unmet = claimedBefore(bucket, allowance.waiters[0]?.since ?? now, undefined, now);
    return { ...NOTHING, recallable: outstandingOf(bucket), unmet, rate: bucket.limits.rate };
};

/** A home that does not serve yet may do so within a moment; one that goes on declining waits for grants to run out. */
const movingOutlook = ({ limits }: Home, since: Millis, now: Millis): Outlook => ({
    ...NOTHING,
    informed: since + timing.maxWaitMs <= now,
    settling: since + timing.settleMs > now,
    unreachableBurst: limits.burst,
    unreachableRate: limits.rate,
});

/** A home that did not answer stays out of reach while it is asked again. */
const isOutOfReach = ({ failedAt, pendingSince }: HeldGrant, now: Millis): boolean =>
    failedAt !== undefined && (failedAt + timing.unreachableMs > now || pendingSince !== undefined);

const homeOutlook = (home: Home, held: HeldGrant | undefined, now: Millis): Outlook => {
    const { rate, burst } = home.limits;
    if (held?.decliningSince !== undefined) {
        return movingOutlook(home, held.decliningSince, now);
    }
    if (held !== undefined && isOutOfReach(held, now)) {
        return { ...NOTHING, unreachableBurst: burst, unreachableRate: rate };
    }
    if (held === undefined || held.heardAt + timing.freshMs <= now) {
        return { ...NOTHING, informed: false, rate, free: burst };
    }
    const accrued = held.rate * (now - held.heardAt) / MS_PER_SECOND;
    const { elsewhere: recallable, unmet } = held;
    return { ...NOTHING, free: Math.min(burst, held.free + accrued), recallable, unmet, rate: held.rate };
};

/** Sums up what the homes last told; homes that failed to answer lately count as out of reach. */
export function outlookOf(allowance: Allowance, now: Millis): Outlook {
    const own = allowance.servesFrom === undefined ? [] : [ownOutlook(allowance, now)];
    const others = allowance.homes
        .filter(home => home.vm !== allowance.vm)
        .map(home => homeOutlook(home, allowance.held.find(held => held.home === home.vm), now));
    const barred = allowance.homes
        .filter(home => home.vm === allowance.vm && allowance.servesFrom === undefined)
        .map(home => movingOutlook(home, allowance.barredSince ?? now, now));
    // Right after the start of a process no VM is known yet.
    const known = { ...NOTHING, informed: allowance.homes.length > 0, settling: true };
    return [...own, ...others, ...barred].reduce((sum, one) => ({
        informed: sum.informed && one.informed,
        // A home out of reach has not just started: waiting for the others would not help.
        settling: sum.settling && one.settling,
        free: sum.free + one.free,
        recallable: sum.recallable + one.recallable,
        // Requests that wait elsewhere ask several homes for the same tokens.
        unmet: Math.max(sum.unmet, one.unmet),
        rate: sum.rate + one.rate,
        unreachableBurst: sum.unreachableBurst + one.unreachableBurst,
        unreachableRate: sum.unreachableRate + one.unreachableRate,
    }), known);
}
