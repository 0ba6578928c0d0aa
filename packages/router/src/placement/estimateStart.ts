import type { Candidate } from "./Candidate.js";
import type { StartEstimate } from "./StartEstimate.js";

/**
 * Prompt tokens that an engine reads in a millisecond: three quarters of the sheets' 82, as it reads in pieces between the
 * tokens of running requests.
 */
const TOKENS_PER_MS = 60;
/** From the last token read to the first one made, from the sheets. */
const FIRST_TOKEN_MS = 45;
/** Until memory is free, when an engine's is full: half a usual run. */
const FULL_MS = 400;
/** Tokens that are fetched in a millisecond from another engine or the store, over its link and with the waiting for it. */
const FETCHED_PER_MS = 300;
/** What each running request adds to the steps of an engine, in milliseconds over a prompt's reading. */
const RUNNING_MS = 1.5;
/** One plain request before this one: the sheets' mean of work, spread over the slots. */
const PLAIN_WORK_MS = 21;
/** A round trip to another failure domain, and the price of its bytes. */
const FAR_MS = 4;

/** Estimates when an endpoint would begin its answer. */
export function estimateStart(candidate: Candidate): StartEstimate {
    const { running, slots, waitingTokens, missingTokens, fetchedTokens, memorySize, memoryTokens } = candidate;
    const distance = candidate.isNear ? 0 : FAR_MS;
    if (memorySize === 0) {
        const queued = Math.max(0, running + 1 - slots);
        // A share of the work for each running request keeps the load even below the slots, where endpoints slow down.
        const queueMs = distance + PLAIN_WORK_MS * (queued + running / slots);
        return { queueMs, startMs: queueMs };
    }
    const ownReading = missingTokens / TOKENS_PER_MS + fetchedTokens / FETCHED_PER_MS;
    const excess = memoryTokens - memorySize;
    const overflow = excess > 0 ? FULL_MS + excess / TOKENS_PER_MS : 0;
    const queued = Math.max(0, running + 1 - slots) * RUNNING_MS * slots;
    const queueMs = distance + waitingTokens / TOKENS_PER_MS + running * RUNNING_MS + overflow + queued;
    return { queueMs, startMs: queueMs + ownReading + FIRST_TOKEN_MS };
}
