/**
 * Phases of a rollout, in the order in which they follow; a VM never goes back. In `canary`, a bounded share of the
 * requests goes to the new version; in `switching`, all do, while the old endpoints finish their last requests. The
 * other two are final.
 */
const rolloutPhases = ["canary", "switching", "completed", "rolled-back"] as const;

export { rolloutPhases };
