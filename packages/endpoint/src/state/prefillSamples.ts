import type { Millis } from "@azureshunt/core";

import type { InFlight } from "./InFlight.js";
import type { PrefillSample } from "./PrefillSample.js";

/** Shorter computations say more about the network and the engine's steps than about its speed. */
const MIN_TOKENS = 1_024;
/** Part of the own tokens that may stand before them: how much is there is known too badly to be counted in. */
const MAX_BACKLOG_PART = 0.1;

/**
 * Derives the engine's speed from one observed first token. Requests that found much work before them give no sample.
 *
 * @param elapsed milliseconds to the first token without the network's part
 * @returns no or one sample
 */
export function prefillSamples(dispatch: InFlight, elapsed: Millis, now: Millis): readonly PrefillSample[] {
    const { prefillTokens, backlogTokens, accepted } = dispatch;
    const isClear = prefillTokens >= MIN_TOKENS && backlogTokens <= prefillTokens * MAX_BACKLOG_PART;
    return accepted && isClear && elapsed > 0 ? [{ at: now, msPerToken: elapsed / prefillTokens }] : [];
}
