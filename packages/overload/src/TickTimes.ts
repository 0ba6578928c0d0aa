import type { Millis } from "@azureshunt/core";

/** Last two ticks of a timer that is due at every interval. */
export type TickTimes = {
    readonly tickAt: Millis;
    readonly previousTickAt: Millis;
    /** How late the last tick was. */
    readonly lagMs: Millis;
    /** Part of the lag in which the process did not run; it says nothing of the load. */
    readonly pausedMs: Millis;
};
