import type { EndpointName, Millis } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";

/** A call that runs at an endpoint. */
type RunningCall = {
    readonly call: Call;
    readonly endpoint: EndpointName;
    /** Whether the endpoint has begun its answer. */
    readonly isAnswering: boolean;
};

/** Reports the progress of a running call. */
type RunningCallHandle = {
    /** To be called when the endpoint has begun its answer. */
    readonly answerStarted: () => void;
    /** Ends the call; one whose endpoint may have died is kept for a while, for `runningAtDeath`. */
    readonly end: (died: boolean) => void;
};

/** Calls that this daemon runs at endpoints, and recent ones that ended when their endpoint may have died. */
export type RunningCalls = {
    readonly add: (call: Call, place: Pick<Placement, "endpoint" | "incarnation">) => RunningCallHandle;
    /** Calls that run now. */
    readonly all: () => readonly RunningCall[];
    /** Calls that run at an endpoint now. */
    readonly at: (endpoint: EndpointName) => readonly Call[];
    /** Calls that run at an endpoint, or were running there when it died. */
    readonly runningAtDeath: (deathId: string, endpoint: EndpointName, now: Millis) => readonly Call[];
};
