import type { EndpointFigures } from "./EndpointFigures.js";

/** The weighted median of the slowness of samples; 0 if there are none. */
export function weightedMedian(samples: EndpointFigures["samples"]): number {
    const sorted = samples.toSorted((a, b) => a.slowness - b.slowness);
    const half = samples.reduce((sum, { weight }) => sum + weight, 0) / 2;
    const state = { below: 0 };
    return sorted.find(({ weight }) => {
        state.below += weight;
        return state.below >= half;
    })?.slowness ?? 0;
}
