import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { availableTokens } from "./availableTokens.js";
import type { ChargePart } from "./ChargePart.js";
import { demandAt } from "./demandAt.js";
import { slotAt } from "./slotAt.js";
import { usableTokens } from "./usableTokens.js";

type Charged = { readonly allowance: Allowance; readonly parts: readonly ChargePart[]; };

const takeFromGrants = (allowance: Allowance, tokens: Tokens, now: Millis): Charged =>
    [...allowance.held]
        .sort((a, b) => a.expiresAt - b.expiresAt)
        .reduce<Charged & { readonly missing: Tokens; }>((sofar, held) => {
            const taken = Math.min(sofar.missing, usableTokens(held, now));
            if (taken === 0) {
                return sofar;
            }
            const { home, homeIncarnation, slot } = held;
            const rest = sofar.allowance.held.map(other =>
                other === held ? { ...held, left: held.left - taken } : other
            );
            return {
                allowance: { ...sofar.allowance, held: rest },
                parts: [...sofar.parts, { home, homeIncarnation, slot, tokens: taken }],
                missing: sofar.missing - taken,
            };
        }, { allowance, parts: [], missing: tokens });

const takeFromBucket = (allowance: Allowance, tokens: Tokens, now: Millis): Charged => {
    const { bucket, vm: home, run: homeIncarnation } = allowance;
    if (bucket === undefined || tokens <= 0) {
        return { allowance, parts: [] };
    }
    return {
        allowance: { ...allowance, bucket: { ...bucket, balance: bucket.balance - tokens } },
        parts: [{ home, homeIncarnation, slot: slotAt(now), tokens }],
    };
};

/** Removes the tokens that pay a debt, as they are never refunded. */
const withoutDebt = (parts: readonly ChargePart[], debt: Tokens): readonly ChargePart[] =>
    parts.reduce<{ readonly debt: Tokens; readonly parts: readonly ChargePart[]; }>((sofar, part) => {
        const paid = Math.min(sofar.debt, part.tokens);
        const rest = { ...part, tokens: part.tokens - paid };
        return { debt: sofar.debt - paid, parts: rest.tokens > 0 ? [...sofar.parts, rest] : sofar.parts };
    }, { debt, parts: [] }).parts;

/**
 * Charges the tokens for a request plus any debt: from grants first, since these expire, then from this VM's own
 * bucket.
 *
 * @returns undefined if there are not enough tokens
 */
export function charge(before: Allowance, tokens: Tokens, now: Millis): Charged | undefined {
    const owed = tokens + before.debt;
    if (availableTokens(before, now) < owed) {
        return undefined;
    }
    const granted = takeFromGrants(before, owed, now);
    const rest = granted.parts.reduce((missing, part) => missing - part.tokens, owed);
    const { allowance, parts } = takeFromBucket(granted.allowance, rest, now);
    const demand = demandAt(before, now) + tokens;
    return {
        allowance: { ...allowance, debt: 0, demand, spentAt: now, inFlight: before.inFlight + 1 },
        parts: withoutDebt([...granted.parts, ...parts], before.debt),
    };
}
