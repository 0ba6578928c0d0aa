import type { ServiceFigures } from "./ServiceFigures.js";

/** Variance of the factors of an unknown service: the constants may well be off by half. */
const FACTOR_VARIANCE = 0.25;

/** A service of which nothing was observed: the constants apply. */
const initialService: ServiceFigures = {
    factors: [1, 1, 1],
    covariance: [[FACTOR_VARIANCE, 0, 0], [0, FACTOR_VARIANCE, 0], [0, 0, FACTOR_VARIANCE]],
    mix: [0, 0, 0],
    noise: 0.25,
    median: 0,
    priorSamples: 2,
};

export { initialService };
