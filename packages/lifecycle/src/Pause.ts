import type { Millis } from "@azureshunt/core";

/**
 * A time in which a process did not run. `counted`: its monotonic clock went on, so ages and leases include the pause.
 * `uncounted`: the monotonic clock stood still, or the time of day was stepped, which cannot be told apart; what is dated by the
 * monotonic clock looks newer than it is.
 */
export type Pause = {
    readonly kind: "counted" | "uncounted";
    /** Its length; negative if the time of day was stepped back. */
    readonly ms: Millis;
};
