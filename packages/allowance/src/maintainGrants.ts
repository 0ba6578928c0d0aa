import type { Millis, Step } from "@azureshunt/core";

import { aheadTokens } from "./aheadTokens.js";
import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { askHome } from "./askHome.js";
import type { HeldGrant } from "./HeldGrant.js";
import { timing } from "./timing.js";
import { usableTokens } from "./usableTokens.js";

type AllowanceStep = Step<Allowance, AllowanceEffect>;

const homeOf = (allowance: Allowance, held: HeldGrant) =>
    allowance.homes.find(home => home.vm === held.home) ??
        { domain: held.domain, vm: held.home, limits: { rate: 0, burst: 0 } };

/** Hands back up to `spare` of the tokens held, home by home, and sends refunds. */
const handBack = (allowance: Allowance, spare: number, now: Millis): AllowanceStep =>
    allowance.held.reduce<AllowanceStep & { readonly spare: number; }>((sofar, held) => {
        const giveBack = Math.min(sofar.spare, usableTokens(held, now));
        const hasReturns = giveBack > 0 || held.refunds.length > 0;
        if (!hasReturns) {
            return sofar;
        }
        const step = askHome(sofar.state, homeOf(allowance, held), { need: 0, ahead: 0, giveBack }, now);
        return {
            state: step.state,
            effects: [...sofar.effects, ...step.effects],
            spare: step.effects.length > 0 ? sofar.spare - giveBack : sofar.spare,
        };
    }, { state: allowance, effects: [], spare });

/**
 * Returns whether a home has to be sent what is held here: before the grant expires, and soon after some of it was
 * spent, since a home accrues nothing for tokens that it counts as unspent.
 */
const mustReport = (held: HeldGrant, now: Millis): boolean => {
    const isExpiring = usableTokens(held, now) > 0 && held.askedAt + timing.grantMs / 2 <= now;
    const isSpent = held.outstandingAtHome > held.left && held.askedAt + timing.reportMs <= now;
    return isExpiring || isSpent;
};

const renewGrants = (allowance: Allowance, now: Millis): AllowanceStep =>
    allowance.held
        .filter(held => mustReport(held, now))
        .reduce<AllowanceStep>((sofar, held) => {
            const step = askHome(sofar.state, homeOf(allowance, held), { need: 0, ahead: 0, giveBack: 0 }, now);
            return { state: step.state, effects: [...sofar.effects, ...step.effects] };
        }, { state: allowance, effects: [] });

const dropEmptyGrants = (allowance: Allowance, now: Millis): Allowance => ({
    ...allowance,
    held: allowance.held.filter(held =>
        held.pendingSince !== undefined || held.refunds.length > 0 || usableTokens(held, now) > 0 ||
        held.askedAt + timing.refundMs > now
    ),
});

/**
 * Maintains the grants held here: hands back tokens that are not needed, sends refunds, and renews grants in time.
 *
 * @param handBackAll whether all tokens are handed back, as when the daemon stops or on a recall
 */
export function maintainGrants(before: Allowance, handBackAll: boolean, now: Millis): AllowanceStep {
    const allowance = dropEmptyGrants(before, now);
    const isUnused = allowance.spentAt + timing.idleMs <= now && allowance.waiters.length === 0;
    const target = 2 * aheadTokens(allowance, now);
    const heldHere = allowance.held.reduce((sum, held) => sum + usableTokens(held, now), 0);
    const surplus = allowance.waiters.length > 0 ? 0 : Math.max(0, Math.floor(heldHere - target));
    const handed = handBack(allowance, handBackAll || isUnused ? heldHere : surplus, now);
    const renewed = renewGrants(handed.state, now);
    return { state: renewed.state, effects: [...handed.effects, ...renewed.effects] };
}
