import type { RolloutPhase } from "./RolloutPhase.js";

const RANKS: Readonly<Record<RolloutPhase, number>> = {
    "canary": 0,
    "switching": 1,
    "completed": 2,
    "rolled-back": 3,
};

/** Returns the rank of a phase; a VM never goes back to a phase with a lower one. */
export function phaseRank(phase: RolloutPhase | undefined): number {
    return phase === undefined ? -1 : RANKS[phase];
}
