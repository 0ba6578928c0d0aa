import type { Allowed } from "./Allowed.js";
import type { Spending } from "./Spending.js";

const MS_PER_SECOND = 1_000;

type Bucket = { readonly tokens: number; readonly at: number; readonly accepted: readonly Spending[]; };

/** The requests of one organisation that an ideal allowance for the whole fleet would accept. */
export function acceptWithin({ rate, burst, atStart }: Allowed, offered: readonly Spending[]): readonly Spending[] {
    return offered.toSorted((a, b) => a.at - b.at).reduce<Bucket>((bucket, spending) => {
        const refilled = Math.min(burst, bucket.tokens + rate * (spending.at - bucket.at) / MS_PER_SECOND);
        const fits = refilled >= spending.cost;
        return {
            tokens: refilled - (fits ? spending.cost : 0),
            at: spending.at,
            accepted: fits ? [...bucket.accepted, spending] : bucket.accepted,
        };
    }, { tokens: atStart, at: 0, accepted: [] }).accepted;
}
