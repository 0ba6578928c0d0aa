import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointLoad } from "../state/EndpointLoad.js";
import type { Estimate } from "./Estimate.js";

/** What the estimate is made from. */
type EstimateInput = {
    readonly load: EndpointLoad;
    /** Requests that the endpoint runs at once; undefined when it never had to queue. */
    readonly slots: number | undefined;
    /** Milliseconds a token of a prompt. */
    readonly msPerToken: number;
    /** Tokens of the prompt that are not cached there. */
    readonly uncachedTokens: Tokens;
    /** Milliseconds of fetching cached pieces first; 0 for none. */
    readonly fetch: Millis;
    readonly network: Millis;
    readonly coldStart: Millis;
    /** Milliseconds until one running request of a full endpoint ends. */
    readonly slotMs: Millis;
};

/** Estimates the time to the first token: queue, prefill of the uncached part, network and cold start. */
export function estimateFirstToken(input: EstimateInput): Estimate {
    const { load, slots, msPerToken, uncachedTokens, fetch, network, coldStart, slotMs } = input;
    const over = slots === undefined ? 0 : Math.max(0, load.requests + 1 - slots);
    const wait = load.prefillTokens * msPerToken + over * slotMs;
    const prefill = uncachedTokens * msPerToken;
    const total = Math.max(wait, fetch) + prefill + network + coldStart;
    return { wait, fetch, prefill, network, coldStart, total };
}
