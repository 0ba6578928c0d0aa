import type { RolloutPhase } from "./RolloutPhase.js";

/** Returns whether a rollout has ended. */
export function isFinal(phase: RolloutPhase | undefined): boolean {
    return phase === "completed" || phase === "rolled-back";
}
