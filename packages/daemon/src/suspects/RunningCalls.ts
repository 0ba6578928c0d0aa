import type { EndpointName, Millis } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";

/** Calls that this daemon runs at endpoints, and those that ended with an endpoint's death a moment ago. */
export type RunningCalls = {
    /** Adds a call; the returned function takes it off. */
    readonly add: (call: Call, endpoint: EndpointName) => (died: boolean) => void;
    /** Calls that run at an endpoint now. */
    readonly at: (endpoint: EndpointName) => readonly Call[];
    /** Calls that run there, or died there a moment ago. */
    readonly lately: (endpoint: EndpointName, now: Millis) => readonly Call[];
};
