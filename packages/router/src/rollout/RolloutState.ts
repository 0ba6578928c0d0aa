/** How far a rollout has got, as operators read it. */
export type RolloutState = "running" | "completed" | "rolled-back";
