import type { Weights } from "./Weights.js";

/** Returns whether two descriptions identify the same weights. */
export function isSameWeights(a: Weights, b: Weights): boolean {
    return a.model === b.model && a.adapter === b.adapter && a.version === b.version;
}
