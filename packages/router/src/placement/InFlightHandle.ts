import type { Millis } from "@azureshunt/core";

import type { TryOutcome } from "../dispatch/TryOutcome.js";

/** Reports the progress of one in-flight request, from sending to end. */
export type InFlightHandle = {
    /** Records that a connection to the endpoint is open. */
    readonly onReached: () => void;
    /** Records that the answer has started. */
    readonly answerStarted: () => void;
    /** Records that bytes arrived from the endpoint. */
    readonly onActivity: (now: Millis) => void;
    /** Whether the endpoint was active recently, on any request of this VM. */
    readonly isAlive: () => boolean;
    /** Whether the endpoint has begun to answer a later request that it would serve after this one. */
    readonly isOvertaken: () => boolean;
    /** Ends the request and updates the endpoint's health. */
    readonly end: (outcome: TryOutcome) => void;
};
