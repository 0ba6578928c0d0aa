import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { Outlook } from "./Outlook.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

const NOTHING: Outlook = {
    informed: true,
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
    const unmet = [...bucket.takers.values()]
        .filter(taker => taker.seenAt + timing.freshMs > now)
        .reduce((sum, taker) => sum + taker.unmet, 0);
    return { ...NOTHING, recallable: outstandingOf(bucket), unmet, rate: bucket.limits.rate };
};

const homeOutlook = (home: Home, held: HeldGrant | undefined, now: Millis): Outlook => {
    const { rate, burst } = home.limits;
    if (held?.failedAt !== undefined && held.failedAt + timing.unreachableMs > now) {
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
    // The own VM as home that may not serve yet: its share is out of reach like that of a cut domain.
    const barred = allowance.homes
        .filter(home => home.vm === allowance.vm && allowance.servesFrom === undefined)
        .map(({ limits }) => ({ ...NOTHING, unreachableBurst: limits.burst, unreachableRate: limits.rate }));
    return [...own, ...others, ...barred].reduce((sum, one) => ({
        informed: sum.informed && one.informed,
        free: sum.free + one.free,
        recallable: sum.recallable + one.recallable,
        // Requests that wait elsewhere ask several homes for the same tokens.
        unmet: Math.max(sum.unmet, one.unmet),
        rate: sum.rate + one.rate,
        unreachableBurst: sum.unreachableBurst + one.unreachableBurst,
        unreachableRate: sum.unreachableRate + one.unreachableRate,
    }), NOTHING);
}
