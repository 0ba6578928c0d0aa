import type { OrganisationId, Tokens } from "@azureshunt/core";

/** Who a key belongs to, and what it may use. */
export type Organisation = {
    readonly id: OrganisationId;
    readonly keys: readonly string[];
    /** Goes before the route's priority. */
    readonly priority: number | undefined;
    /** Whether it shares no cached part with any other organisation. */
    readonly isIsolated: boolean;
    /** Whether rate and burst count requests in place of tokens. */
    readonly countsRequests: boolean;
    /** Tokens a second over all VMs; undefined where there is no limit. */
    readonly ratePerSecond: Tokens | undefined;
    readonly burst: Tokens;
    /** What a request counts that does not say how many tokens it needs. */
    readonly plainTokens: Tokens;
};
