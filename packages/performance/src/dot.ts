import type { Weights } from "./Weights.js";

/** The scalar product. */
export function dot(a: Weights, b: Weights): number {
    return a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
}
