import type { Millis, Tokens } from "@azureshunt/core";

/** One request that this VM has at an endpoint. */
export type InFlight = {
    readonly sentAt: Millis;
    /** When the endpoint should have shown activity at the latest. */
    readonly expectedAt: Millis;
    /** Time from sending to the start of the answer, as predicted; undefined for what is no try of a request. */
    readonly predictedMs?: Millis;
    readonly missingTokens: Tokens;
    /** Tokens of prompt and answer that the request will occupy in the KV cache. */
    readonly memoryTokens: Tokens;
    /** Whether the answer has started. */
    readonly isAnswering: boolean;
    /** Rank at the endpoint, 0 first; undefined for what is no try of a request. */
    readonly priority?: number;
    /** Whether the endpoint has begun to answer a later request first. Set in place, and shared by all copies of the entry. */
    readonly order?: { isOvertaken: boolean; };
};
