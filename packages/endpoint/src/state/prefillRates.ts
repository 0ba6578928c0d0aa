import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";
import { median } from "./median.js";
import type { PrefillSample } from "./PrefillSample.js";

/** Number of newest samples that an estimate uses. */
const WINDOW = 7;
const MIN_SAMPLES = 3;
/** Older samples are used only if all engines of the same model together have too few newer ones. */
const FRESH_MS = 5_000;
/** Rate until there are samples. */
const DEFAULT_MS_PER_TOKEN = 0.05;

const rateOf = (samples: readonly PrefillSample[]): number | undefined =>
    samples.length >= MIN_SAMPLES ? median(samples.slice(-WINDOW).map(each => each.msPerToken)) : undefined;

const freshOf = (state: EndpointState, now: Millis): readonly PrefillSample[] =>
    state.prefillSamples.filter(each => each.at > now - FRESH_MS);

/**
 * Estimates the prefill time per prompt token of each engine: the median of its own recent samples, so that single
 * outliers have no effect; if these are too few, of recent samples of all engines; if these are too few as well, of its
 * own older samples.
 *
 * @param states engines that run the same model
 * @returns milliseconds per token of each engine, in the order of `states`
 */
export function prefillRates(states: readonly EndpointState[], now: Millis): readonly number[] {
    const pooled = states.flatMap(state => freshOf(state, now).slice(-MIN_SAMPLES)).sort((a, b) => a.at - b.at);
    const shared = rateOf(pooled);
    const oldRateOf = (state: EndpointState): number | undefined =>
        median(state.prefillSamples.map(each => each.msPerToken));
    return states.map(state => rateOf(freshOf(state, now)) ?? shared ?? oldRateOf(state) ?? DEFAULT_MS_PER_TOKEN);
}
