import type { Tokens } from "@azureshunt/core";

/** The load of an endpoint and the size of a request when the request is placed, as this VM knows them. */
export type StartLoad = {
    readonly slots: number;
    /** Requests running or queued there. */
    readonly running: number;
    /** Prompt tokens of requests whose answers have not started. */
    readonly waitingTokens: Tokens;
    /** Prompt tokens of this request that the endpoint would have to prefill. */
    readonly missingTokens: Tokens;
    /** Prompt tokens that it would fetch instead. */
    readonly fetchedTokens: Tokens;
    /** Tokens that its requests occupy in the KV cache, and the capacity of that; 0 for plain services. */
    readonly memoryTokens: Tokens;
    readonly memorySize: Tokens;
};
