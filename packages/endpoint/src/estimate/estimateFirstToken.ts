import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointLoad } from "../state/EndpointLoad.js";
import type { Estimate } from "./Estimate.js";

type EstimateInput = {
    readonly load: EndpointLoad;
    /** Maximum number of requests that the endpoint runs at once; undefined unless it is known to be full. */
    readonly slots: number | undefined;
    /** Prefill time per prompt token. */
    readonly msPerToken: number;
    /** Tokens of the prompt that are not cached at the endpoint. */
    readonly uncachedTokens: Tokens;
    /** Time to fetch cached pieces first; 0 if none are fetched. */
    readonly fetch: Millis;
    readonly network: Millis;
    readonly coldStart: Millis;
    /** Mean time until one of the running requests of a full endpoint ends. */
    readonly slotMs: Millis;
};

/** Estimates the time to the first token: queue, prefill of the uncached part, network and cold start. */
export function estimateFirstToken(input: EstimateInput): Estimate {
    const { load, slots, msPerToken, uncachedTokens, fetch, network, coldStart, slotMs } = input;
    const excess = slots === undefined ? 0 : Math.max(0, load.requests + 1 - slots);
    const wait = load.prefillTokens * msPerToken + excess * slotMs;
    const prefill = uncachedTokens * msPerToken;
    const total = Math.max(wait, fetch) + prefill + network + coldStart;
    return { wait, fetch, prefill, network, coldStart, total };
}
