import type { Millis } from "@azureshunt/core";

import type { StartLoad } from "./StartLoad.js";

/** What a VM observed of one try. */
export type Observation = {
    /** Incarnation of the endpoint. */
    readonly bornAt: number;
    readonly load: StartLoad;
    /** Time on the network that does not depend on the endpoint's speed. */
    readonly distanceMs: Millis;
    /** When the request was sent. */
    readonly sentAt: Millis;
    /** Time to the first event of a stream, or to the head of a plain answer. */
    readonly startMs: Millis;
    /** `waited`: the try ended before its answer started, so `startMs` is a lower bound. */
    readonly outcome: "started" | "waited";
    /** How late this process ran lately. */
    readonly lagMs: Millis;
};
