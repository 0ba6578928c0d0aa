import type { Millis } from "@azureshunt/core";

import { phaseRank } from "./phaseRank.js";
import type { RolloutPhase } from "./RolloutPhase.js";
import type { RolloutView } from "./RolloutView.js";

/**
 * Applies a phase that the leader stated at a time.
 *
 * Statements take different ways through the fleet. If an older one could undo a newer one, a VM would send requests to
 * a version that has been taken back. To prevent this, a phase only advances.
 */
export function learnPhase(view: RolloutView, phase: RolloutPhase, statedAt: Millis): RolloutView {
    const step = phaseRank(phase) - phaseRank(view.phase);
    if (step < 0) {
        return view;
    }
    return { ...view, phase, statedAt: step === 0 ? Math.max(view.statedAt, statedAt) : statedAt };
}
