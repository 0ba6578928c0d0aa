import type { Weights } from "./Weights.js";

/** What a VM has learned of a service over all its endpoints, relative to the constants in `partsOf`. */
export type ServiceFigures = {
    /**
     * Factors by which the proportions of the parts of a start differ from those of the constants. Their mean over the
     * usual start is 1: by how much all starts differ is in the endpoints' slowness, which samples are compared by.
     */
    readonly factors: Weights;
    /** Covariance of the factors. */
    readonly covariance: readonly [Weights, Weights, Weights];
    /** Fractions of the parts in the usual start. */
    readonly mix: Weights;
    /** Spread of the logarithm of observed to predicted starts. */
    readonly noise: number;
    /** Median over the endpoints of the logarithm of their slowness. */
    readonly median: number;
    /** Samples of an endpoint that the median counts for: few if endpoints are known to differ, many if they are alike. */
    readonly priorSamples: number;
};
