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

/** Tells how a running call goes on. */
type RunningCallHandle = {
    readonly answering: () => void;
    /** Takes the call off; one that died is remembered for a while. */
    readonly end: (died: boolean) => void;
};

/** Calls that this daemon runs at endpoints, and those that ended with an endpoint's death. */
export type RunningCalls = {
    readonly add: (call: Call, place: Pick<Placement, "endpoint" | "incarnation">) => RunningCallHandle;
    /** Calls that run now. */
    readonly now: () => readonly RunningCall[];
    /** Calls that run at an endpoint now. */
    readonly at: (endpoint: EndpointName) => readonly Call[];
    /** Calls that run at an endpoint, or were there when it died. */
    readonly presentAt: (death: string, endpoint: EndpointName, now: Millis) => readonly Call[];
};
