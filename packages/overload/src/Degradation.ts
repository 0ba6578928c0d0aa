import type { Millis } from "@azureshunt/core";

/** How far a service is degraded because endpoints have become silent. */
export type Degradation = {
    /** 0: not at all; at the last step, as much is refused as capacity was lost. */
    readonly step: number;
    readonly steppedAt: Millis;
    /** Largest fraction of the endpoints that was silent since the first step. */
    readonly lost: number;
    /** Since when the queue at the endpoints has been short; `undefined` if it is not. */
    readonly shortSince: Millis | undefined;
};
