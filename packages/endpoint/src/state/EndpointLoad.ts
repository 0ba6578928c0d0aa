import type { Tokens } from "@azureshunt/core";

/** Estimated current load of an endpoint. */
export type EndpointLoad = {
    /** Number of running and waiting requests. */
    readonly requests: number;
    /** Prompt tokens waiting for prefill or in prefill. */
    readonly prefillTokens: Tokens;
};
