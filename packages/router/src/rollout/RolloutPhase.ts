/**
 * Phase of a rollout. In `canary`, a bounded share of the requests goes to the new version; in `switching`, all do,
 * while the old endpoints finish their last requests. The other two are final.
 */
export type RolloutPhase = "canary" | "switching" | "completed" | "rolled-back";
