import type { OrganisationId, Tokens } from "@azureshunt/core";

/** Owner of API keys, with its priority and rate limit. */
export type Organisation = {
    readonly id: OrganisationId;
    readonly keys: readonly string[];
    /** Overrides the route's priority. */
    readonly priority: number | undefined;
    /** Whether it shares no cached prompt parts with other organisations. */
    readonly isIsolated: boolean;
    /** Whether rate and burst count requests instead of tokens. */
    readonly countsRequests: boolean;
    /** Tokens per second over all VMs; `undefined` if there is no limit. */
    readonly ratePerSecond: Tokens | undefined;
    readonly burst: Tokens;
    /** Tokens charged for a request that does not state how many it needs. */
    readonly plainTokens: Tokens;
};
