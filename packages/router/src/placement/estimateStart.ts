import type { Candidate } from "./Candidate.js";
import type { StartEstimate } from "./StartEstimate.js";

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
/** A round trip to another failure domain, and the cost of its traffic. */
const REMOTE_DOMAIN_MS = 4;

/** Estimates when an endpoint would start processing a request and start its answer. */
export function estimateStart(candidate: Candidate): StartEstimate {
    const { running, slots, waitingTokens, missingTokens, fetchedTokens, memorySize, memoryTokens } = candidate;
    const distanceMs = candidate.isSameDomain ? 0 : REMOTE_DOMAIN_MS;
    if (memorySize === 0) {
        const queued = Math.max(0, running + 1 - slots);
        // Adding a share of the work for each running request balances load below the slot limit too, where endpoints
        // already slow down.
        const queueMs = distanceMs + PLAIN_WORK_MS * (queued + running / slots);
        return { queueMs, startMs: queueMs };
    }
    const prefillMs = missingTokens / PREFILL_TOKENS_PER_MS + fetchedTokens / FETCHED_TOKENS_PER_MS;
    const excessTokens = memoryTokens - memorySize;
    const memoryWaitMs = excessTokens > 0 ? MEMORY_WAIT_MS + excessTokens / PREFILL_TOKENS_PER_MS : 0;
    const queued = Math.max(0, running + 1 - slots) * RUNNING_REQUEST_MS * slots;
    const queueMs = distanceMs + waitingTokens / PREFILL_TOKENS_PER_MS + running * RUNNING_REQUEST_MS + memoryWaitMs +
        queued;
    return { queueMs, startMs: queueMs + prefillMs + FIRST_TOKEN_MS };
}
