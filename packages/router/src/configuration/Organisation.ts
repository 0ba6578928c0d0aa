import type { OrganisationId, Tokens } from "@azureshunt/core";

/** Owner of API keys, with its priority and rate limit. */
export type Organisation = {
    readonly id: OrganisationId;
    readonly keys: readonly string[];
    /** Compared before the route's priority. 0 is the most urgent; `undefined` counts as 0. */
    readonly priority: number | undefined;
    /** Whether it shares no cached prompt parts with other organisations. */
    readonly isIsolated: boolean;
    /** Whether rate and burst count requests instead of tokens. */
    readonly countsRequests: boolean;
    /** Tokens per second over all VMs; `undefined` if there is no limit. */
    readonly ratePerSecond: Tokens | undefined;
    readonly burst: Tokens;
    /** Tokens charged for a request that does not state how many it needs. */
    readonly defaultTokens: Tokens;
};
