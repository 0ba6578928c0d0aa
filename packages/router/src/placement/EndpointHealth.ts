import type { Millis } from "@azureshunt/core";

/** Health of an endpoint as measured by this VM's own tries. */
export type EndpointHealth = {
    /** Moving average of failed tries, from 0 to 1; recent tries weigh more. */
    readonly failureRate: number;
    /** Consecutive tries that did not reach it. */
    readonly unreachedInRow: number;
    /** It gets no requests until this time, unless all candidates are in backoff. */
    readonly backoffUntil: Millis;
};
