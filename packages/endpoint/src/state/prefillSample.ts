import type { Millis } from "@azureshunt/core";

import type { InFlight } from "./InFlight.js";

/** Shorter computations say more about the network than about the engine. */
const MIN_TOKENS = 512;
/** Part of the time to the first token that may be expected queueing for it to count. */
const MAX_WAIT_PART = 0.2;

/**
 * Derives milliseconds a token from one observed first token. Dispatches that had to queue or had little to compute
 * give no sample, as they would blur the engine's speed with its load.
 *
 * @param elapsed milliseconds to the first token without the network's part
 * @returns no or one sample
 */
export function prefillSample(dispatch: InFlight, elapsed: Millis): readonly number[] {
    const { prefillTokens, expectedWait, accepted } = dispatch;
    const isClear = accepted && prefillTokens >= MIN_TOKENS && elapsed > 0 && expectedWait <= elapsed * MAX_WAIT_PART;
    return isClear ? [elapsed / prefillTokens] : [];
}
