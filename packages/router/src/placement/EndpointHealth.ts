import type { Millis } from "@azureshunt/core";

/** What this VM's own tries say of an endpoint. */
export type EndpointHealth = {
    /** Recent share of tries that failed, from 0 to 1; recent tries weigh more. */
    readonly failureRate: number;
    /** Tries in a row that did not reach it. */
    readonly unreachedInRow: number;
    /** Until when it gets no work; then one try finds out. */
    readonly downUntil: Millis;
};
