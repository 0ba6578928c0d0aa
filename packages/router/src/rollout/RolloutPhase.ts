import type { rolloutPhases } from "./rolloutPhases.js";

/** Phase of a rollout; see `rolloutPhases`. */
export type RolloutPhase = typeof rolloutPhases[number];
