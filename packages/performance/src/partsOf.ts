import type { Millis } from "@azureshunt/core";

import type { StartLoad } from "./StartLoad.js";
import type { Weights } from "./Weights.js";

/** The parts of a start by the constants. */
type Parts = {
    readonly queue: Weights;
    readonly own: Weights;
    /** Wait for free memory. */
    readonly memoryMs: Millis;
    /** Transfer of cached parts, whose time is that of the link, not of the endpoint. */
    readonly fetchMs: Millis;
};

/**
 * Prompt tokens that an engine prefills per millisecond: three quarters of the 82 in the deployment specification, as
 * it prefills in pieces between the tokens of running requests.
 */
const PREFILL_TOKENS_PER_MS = 60;
/** From the last prefilled token to the first generated one, from the deployment specification. */
const FIRST_TOKEN_MS = 45;
/** Wait for free memory if an engine's KV cache is full: half the duration of a usual request. */
const MEMORY_WAIT_MS = 400;
/** Tokens fetched per millisecond from another engine or the store, including the wait for its link. */
const FETCHED_TOKENS_PER_MS = 300;
/** Delay that each running request adds to the prefill of a prompt, as it makes the engine's steps longer. */
const RUNNING_REQUEST_MS = 1.5;
/** Delay by one plain request ahead: the mean work from the deployment specification, spread over the slots. */
const PLAIN_WORK_MS = 21;

/** Splits the start of a request into the parts whose figures are learned, by the constants. */
export function partsOf(load: StartLoad): Parts {
    const { running, slots, waitingTokens, missingTokens, fetchedTokens, memorySize, memoryTokens } = load;
    const queued = Math.max(0, running + 1 - slots);
    if (memorySize === 0) {
        // Adding a share of the work for each running request balances load below the slot limit too, where endpoints
        // already slow down.
        const queueMs = PLAIN_WORK_MS * (queued + running / slots);
        return { queue: [queueMs, 0, 0], own: [PLAIN_WORK_MS, 0, 0], memoryMs: 0, fetchMs: 0 };
    }
    const excessTokens = memoryTokens - memorySize;
    return {
        queue: [waitingTokens / PREFILL_TOKENS_PER_MS, 0, (running + queued * slots) * RUNNING_REQUEST_MS],
        own: [missingTokens / PREFILL_TOKENS_PER_MS, FIRST_TOKEN_MS, 0],
        memoryMs: excessTokens > 0 ? MEMORY_WAIT_MS + excessTokens / PREFILL_TOKENS_PER_MS : 0,
        fetchMs: fetchedTokens / FETCHED_TOKENS_PER_MS,
    };
}
