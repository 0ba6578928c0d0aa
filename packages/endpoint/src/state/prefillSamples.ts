import type { Millis } from "@azureshunt/core";

import type { InFlight } from "./InFlight.js";
import type { PrefillSample } from "./PrefillSample.js";

/** Shorter prefills measure the network and the engine's step length rather than its speed. */
const MIN_TOKENS = 1_024;
/** Maximum backlog as a fraction of the own tokens; the backlog is known too imprecisely to correct for it. */
const MAX_BACKLOG_FRACTION = 0.1;

/**
 * Derives the engine's prefill speed from one observed first token. A dispatch with a large backlog gives no sample.
 *
 * @param elapsed time to the first token without the network's round trip
 * @returns one sample or none
 */
export function prefillSamples(dispatch: InFlight, elapsed: Millis, now: Millis): readonly PrefillSample[] {
    const { prefillTokens, backlogTokens, accepted } = dispatch;
    const hasLittleBacklog = prefillTokens >= MIN_TOKENS && backlogTokens <= prefillTokens * MAX_BACKLOG_FRACTION;
    return accepted && hasLittleBacklog && elapsed > 0 ? [{ at: now, msPerToken: elapsed / prefillTokens }] : [];
}
