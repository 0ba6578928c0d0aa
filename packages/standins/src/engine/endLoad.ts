import type { Holding } from "./Holding.js";
import { sameHolding } from "./sameHolding.js";
import type { Weights } from "./Weights.js";

/** Applies the end of a load. Weights that were unloaded while they loaded are not held afterwards. */
export function endLoad(weights: Weights, holding: Holding, succeeded: boolean): Weights {
    const isStillWanted = weights.loading.some(other => sameHolding(other, holding));
    return {
        ...weights,
        loading: weights.loading.filter(other => !sameHolding(other, holding)),
        holds: isStillWanted && succeeded ? [...weights.holds, holding] : weights.holds,
    };
}
