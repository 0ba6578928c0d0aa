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

/** Hands back what is held, but for `keep` tokens, home by home. */
const handBack = (allowance: Allowance, spare: number, now: Millis): AllowanceStep =>
    allowance.held.reduce<AllowanceStep & { readonly spare: number; }>((sofar, held) => {
        const giveBack = Math.min(sofar.spare, usableTokens(held, now));
        const due = giveBack > 0 || held.refunds.length > 0;
        if (!due) {
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
 * Whether a home is to hear of what is held here: before it expires, and soon after some was spent, since a home accrues
 * nothing for tokens that it counts as unspent.
 */
const isDue = (held: HeldGrant, now: Millis): boolean => {
    const expires = usableTokens(held, now) > 0 && held.askedAt + timing.grantMs / 2 <= now;
    const spent = held.counted > held.left && held.askedAt + timing.reportMs <= now;
    return expires || spent;
};

const renewals = (allowance: Allowance, now: Millis): AllowanceStep =>
    allowance.held
        .filter(held => isDue(held, now))
        .reduce<AllowanceStep>((sofar, held) => {
            const step = askHome(sofar.state, homeOf(allowance, held), { need: 0, ahead: 0, giveBack: 0 }, now);
            return { state: step.state, effects: [...sofar.effects, ...step.effects] };
        }, { state: allowance, effects: [] });

const dropSpent = (allowance: Allowance, now: Millis): Allowance => ({
    ...allowance,
    held: allowance.held.filter(held =>
        held.pendingSince !== undefined || held.refunds.length > 0 || usableTokens(held, now) > 0 ||
        held.askedAt + timing.refundMs > now
    ),
});

/**
 * Looks after the tokens held here: hands back what is not needed, passes on refunds, and renews grants in time.
 *
 * @param everything whether all tokens go back, as at a stop of the daemon or on a recall
 */
export function keepHouse(before: Allowance, everything: boolean, now: Millis): AllowanceStep {
    const allowance = dropSpent(before, now);
    const idle = allowance.spentAt + timing.idleMs <= now && allowance.waiters.length === 0;
    const target = 2 * aheadTokens(allowance, now);
    const heldHere = allowance.held.reduce((sum, held) => sum + usableTokens(held, now), 0);
    const beyond = allowance.waiters.length > 0 ? 0 : Math.max(0, Math.floor(heldHere - target));
    const handed = handBack(allowance, everything || idle ? heldHere : beyond, now);
    const renewed = renewals(handed.state, now);
    return { state: renewed.state, effects: [...handed.effects, ...renewed.effects] };
}
