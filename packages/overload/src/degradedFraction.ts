import type { Degradation } from "./Degradation.js";
import { degradationTiming } from "./degradationTiming.js";

/** Returns which fraction of the requests of a degraded service is refused; `divideShed` divides it over its kinds. */
export function degradedFraction({ step, lost }: Pick<Degradation, "step" | "lost">): number {
    return lost * step / degradationTiming.steps;
}
