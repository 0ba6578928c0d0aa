import type { Millis, Tokens } from "@azureshunt/core";

/** A request that waits for tokens. */
export type Waiter = {
    /** Number given by the caller of `stepAllowance`. */
    readonly id: number;
    readonly tokens: Tokens;
    readonly since: Millis;
    /** Time by which it is admitted or refused, whether or not homes have answered. */
    readonly until: Millis;
    /** Time until which it may wait for a home that has just taken over and does not serve yet. */
    readonly takeoverDeadline: Millis;
    /** Number of times that homes have been asked since it arrived. */
    readonly rounds: number;
};
