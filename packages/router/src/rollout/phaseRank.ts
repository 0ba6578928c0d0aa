import type { RolloutPhase } from "./RolloutPhase.js";
import { rolloutPhases } from "./rolloutPhases.js";

/** Returns the rank of a phase; a VM never goes back to a phase with a lower one. */
export function phaseRank(phase: RolloutPhase | undefined): number {
    return phase === undefined ? -1 : rolloutPhases.indexOf(phase);
}
