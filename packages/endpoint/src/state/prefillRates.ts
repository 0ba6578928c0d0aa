import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";
import { median } from "./median.js";
import type { PrefillSample } from "./PrefillSample.js";

/** Observations that an estimate is made of. */
const WINDOW = 7;
const MIN_SAMPLES = 3;
/** Older observations stand back behind newer ones of other engines of the same kind. */
const FRESH_MS = 5_000;
/** Milliseconds a token before anything was observed. */
const FIRST_GUESS = 0.05;

const rateOf = (samples: readonly PrefillSample[]): number | undefined =>
    samples.length >= MIN_SAMPLES ? median(samples.slice(-WINDOW).map(each => each.msPerToken)) : undefined;

const freshOf = (state: EndpointState, now: Millis): readonly PrefillSample[] =>
    state.prefillSamples.filter(each => each.at > now - FRESH_MS);

/**
 * Estimates milliseconds that each engine takes for one token of a prompt: the median of its own recent observations, so
 * that single odd ones do not move it; where it has too few, of those of all; and where there are none, of older ones.
 *
 * @param states engines that run the same model
 * @returns one rate an engine, in their order
 */
export function prefillRates(states: readonly EndpointState[], now: Millis): readonly number[] {
    const pooled = states.flatMap(state => freshOf(state, now).slice(-MIN_SAMPLES)).sort((a, b) => a.at - b.at);
    const shared = rateOf(pooled);
    const oldRateOf = (state: EndpointState): number | undefined =>
        median(state.prefillSamples.map(each => each.msPerToken));
    return states.map(state => rateOf(freshOf(state, now)) ?? shared ?? oldRateOf(state) ?? FIRST_GUESS);
}
