import type { Millis } from "@azureshunt/core";

import type { InFlight } from "./InFlight.js";
import type { PrefillSample } from "./PrefillSample.js";

/** Shorter computations say more about the network and the engine's steps than about its speed. */
const MIN_TOKENS = 1_024;

/**
 * Derives the engine's speed from one observed first token: until then it computed what stood before the request and
 * the request's own uncached tokens.
 *
 * @param elapsed milliseconds to the first token without the network's part
 * @returns no or one sample
 */
export function prefillSamples(dispatch: InFlight, elapsed: Millis, now: Millis): readonly PrefillSample[] {
    const tokens = dispatch.backlogTokens + dispatch.prefillTokens;
    const isClear = dispatch.accepted && dispatch.prefillTokens * 2 >= tokens && tokens >= MIN_TOKENS && elapsed > 0;
    return isClear ? [{ at: now, msPerToken: elapsed / tokens }] : [];
}
