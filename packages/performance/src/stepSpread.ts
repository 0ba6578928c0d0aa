import type { EndpointFigures } from "./EndpointFigures.js";
import type { ServiceFigures } from "./ServiceFigures.js";

/** Bounds of what the median counts for: it must neither vanish nor outweigh the window of an endpoint. */
const MIN_PRIOR_SAMPLES = 0.2;
const MAX_PRIOR_SAMPLES = 6;
/** Least variance between endpoints; keeps the quotient finite where all are alike. */
const MIN_VARIANCE = 1e-4;

/**
 * Updates the median of a service's endpoints, which is the prior of each, and what it counts for. Sudden changes of
 * single endpoints do not count.
 */
export function stepSpread(service: ServiceFigures, endpoints: readonly EndpointFigures[]): ServiceFigures {
    const sorted = endpoints.map(({ base }) => base).sort((a, b) => a - b);
    const median = sorted[Math.floor((sorted.length - 1) / 2)];
    if (median === undefined) {
        return service;
    }
    const noise = service.noise ** 2;
    // What the noise of the samples explains is no difference between the endpoints.
    const excess = endpoints.reduce((sum, { base, samples }) => sum + (base - median) ** 2 - noise / samples.length, 0);
    const variance = Math.max(MIN_VARIANCE, excess / sorted.length);
    return {
        ...service,
        median,
        priorSamples: Math.min(MAX_PRIOR_SAMPLES, Math.max(MIN_PRIOR_SAMPLES, noise / variance)),
    };
}
