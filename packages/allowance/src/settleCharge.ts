import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { ChargePart } from "./ChargePart.js";
import { refundToBucket } from "./refundToBucket.js";

const refundPart = (allowance: Allowance, part: ChargePart, tokens: Tokens, now: Millis): Allowance => {
    const { bucket, vm, run } = allowance;
    if (part.home === vm && part.homeIncarnation === run) {
        const refunded = bucket === undefined ? undefined : refundToBucket(bucket, part.slot, tokens, now);
        return { ...allowance, bucket: refunded };
    }
    const held = allowance.held.map(entry =>
        entry.home === part.home && entry.homeIncarnation === part.homeIncarnation
            ? { ...entry, refunds: [...entry.refunds, { slot: part.slot, tokens }] }
            : entry
    );
    return { ...allowance, held };
};

/**
 * Settles the charge of a request that has ended. Unused tokens are refunded to the home that they came from, which
 * decides how many of them it credits. A shortfall is carried as debt, as those tokens are already spent.
 */
export function settleCharge(before: Allowance, parts: readonly ChargePart[], used: Tokens, now: Millis): Allowance {
    const charged = parts.reduce((sum, part) => sum + part.tokens, 0);
    const shortfall = Math.max(0, used - charged);
    const ended = { ...before, inFlight: Math.max(0, before.inFlight - 1), debt: before.debt + shortfall };
    return [...parts].reverse().reduce((sofar, part) => {
        const tokens = Math.min(sofar.unused, part.tokens);
        const allowance = tokens > 0 ? refundPart(sofar.allowance, part, tokens, now) : sofar.allowance;
        return { allowance, unused: sofar.unused - tokens };
    }, { allowance: ended, unused: Math.max(0, charged - used) }).allowance;
}
