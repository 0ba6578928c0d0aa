import type { Millis, Tokens } from "@azureshunt/core";

/** A request that waits for tokens. */
export type Waiter = {
    /** Number that the caller of the aggregate gave it. */
    readonly id: number;
    readonly tokens: Tokens;
    readonly since: Millis;
    /** When it must have been admitted, whether homes have told anything or not. */
    readonly until: Millis;
    /** Until when it may wait for a home that has just taken over and does not serve yet. */
    readonly settledBy: Millis;
    /** Rounds of asking that have been sent since it came. */
    readonly rounds: number;
};
