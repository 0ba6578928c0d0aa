import { dot } from "./dot.js";
import type { ServiceFigures } from "./ServiceFigures.js";
import type { Weights } from "./Weights.js";

/** Weight of a new sample in the mean distribution of the parts, which so follows the last fifty samples. */
const MIX_GAIN = 0.02;

/** Scales the factors of a service so that they are 1 in the mean over its usual start. */
export function scaleFactors(factors: Weights, mix: Weights, parts: Weights): Pick<ServiceFigures, "factors" | "mix"> {
    const sum = parts[0] + parts[1] + parts[2];
    const gain = mix[0] + mix[1] + mix[2] === 0 ? 1 : MIX_GAIN;
    const share = (i: 0 | 1 | 2): number => mix[i] + (parts[i] / sum - mix[i]) * gain;
    const next: Weights = [share(0), share(1), share(2)];
    const scale = dot(factors, next);
    return { factors: [factors[0] / scale, factors[1] / scale, factors[2] / scale], mix: next };
}
