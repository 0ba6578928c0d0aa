import type { Tokens } from "@azureshunt/core";

/** How an endpoint would obtain the parts of a prompt that it has not cached. */
export type PromptShare = {
    /** Tokens that the endpoint would have to prefill. */
    readonly missingTokens: Tokens;
    /** Tokens that it would fetch from `source`. */
    readonly fetchedTokens: Tokens;
    /** `host:port` of the cache store or engine to fetch from; undefined if there is none. */
    readonly source: string | undefined;
};
