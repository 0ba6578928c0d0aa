import type { EndpointState } from "./EndpointState.js";
import { median } from "./median.js";

/** Samples below this number are joined by those of the other engines. */
const MIN_SAMPLES = 3;
/** Milliseconds a token before anything was observed. */
const FIRST_GUESS = 0.1;

/**
 * Estimates milliseconds that an engine takes for one token of a prompt: the median of recent samples, so that single
 * odd ones do not move it.
 *
 * @param siblings engines whose samples stand in while this one has too few
 */
export function prefillRate(state: EndpointState, siblings: readonly EndpointState[]): number {
    const samples = state.prefillSamples.length >= MIN_SAMPLES
        ? state.prefillSamples
        : siblings.flatMap(sibling => sibling.prefillSamples).concat(state.prefillSamples);
    return median(samples) ?? FIRST_GUESS;
}
