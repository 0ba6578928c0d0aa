import { dot } from "./dot.js";
import type { ServiceFigures } from "./ServiceFigures.js";
import type { Weights } from "./Weights.js";

/** Variance that a factor gains with each observation, so that a change of all endpoints shows after some hundred. */
const DRIFT = 1e-5;
/** Largest relative error that is taken for evidence; larger ones are queues that were not known. */
const MAX_ERROR = 0.25;
/** Bounds of the factors: a part of the start that few samples show must not become zero or take all of it. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

const map = (weights: Weights, change: (value: number, i: 0 | 1 | 2) => number): Weights => [
    change(weights[0], 0),
    change(weights[1], 1),
    change(weights[2], 2),
];

/**
 * Moves the factors of a service towards one observation, by recursive least squares on the parts of its start.
 *
 * @param parts of the start by the constants
 * @param error relative error of the prediction
 * @param variance of that error
 */
export function stepFactors(
    { factors, covariance }: Pick<ServiceFigures, "factors" | "covariance">,
    parts: Weights,
    error: number,
    variance: number,
): Pick<ServiceFigures, "factors" | "covariance"> {
    const predicted = dot(factors, parts);
    const shares = map(parts, part => part / predicted);
    const direction: Weights = [dot(covariance[0], shares), dot(covariance[1], shares), dot(covariance[2], shares)];
    const total = dot(direction, shares) + variance;
    const clipped = Math.min(MAX_ERROR, Math.max(-MAX_ERROR, error));
    const row = (i: 0 | 1 | 2): Weights =>
        map(covariance[i], (value, j) => value - direction[i] * direction[j] / total + (i === j ? DRIFT : 0));
    const moved = map(
        factors,
        (factor, i) => Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor + direction[i] * clipped / total)),
    );
    return { factors: moved, covariance: [row(0), row(1), row(2)] };
}
