import type { Allowed } from "./Allowed.js";
import type { Spending } from "./Spending.js";

const MS_PER_SECOND = 1_000;

/** One bucket for the whole fleet, as if every VM saw every request at once. */
type Bucket = { readonly tokens: number; readonly at: number; readonly wrongful: number; };

const ofOrganisation = ({ rate, burst }: Allowed, spendings: readonly Spending[]): number =>
    spendings.toSorted((a, b) => a.at - b.at).reduce<Bucket>((bucket, { at, cost, accepted }) => {
        const tokens = Math.min(burst, bucket.tokens + rate * (at - bucket.at) / MS_PER_SECOND);
        const inside = tokens >= cost;
        if (accepted) {
            return { tokens: Math.max(tokens - cost, 0), at, wrongful: bucket.wrongful };
        }
        return { tokens, at, wrongful: bucket.wrongful + (inside ? 1 : 0) };
    }, { tokens: burst, at: 0, wrongful: 0 }).wrongful;

/**
 * Counts requests that were refused though their organisation was inside its rate and burst at that moment, counting
 * only what was accepted before.
 */
export function countWrongfulRefusals(allowed: readonly Allowed[], spendings: readonly Spending[]): number {
    return allowed
        .map(one => ofOrganisation(one, spendings.filter(({ organisation }) => organisation === one.organisation)))
        .reduce((sum, wrongful) => sum + wrongful, 0);
}
