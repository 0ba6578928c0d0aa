import type { DispatchId, EndpointName, Incarnation, Millis } from "@azureshunt/core";

import type { PlacementOutcome } from "./PlacementOutcome.js";

/** The endpoint chosen for one try of a request. The chooser counts it as in flight until `end` is called. */
export type Placement = {
    readonly dispatchId: DispatchId;
    readonly endpoint: EndpointName;
    readonly url: string;
    /** The run of the endpoint that the choice relies on; undefined for plain services. */
    readonly incarnation: Incarnation | undefined;
    /** Estimated time to the first token in milliseconds. */
    readonly estimate: Millis;
    /** To be called when the head of the answer has come: the endpoint has taken the request up. */
    readonly started: (incarnation: Incarnation | undefined, cachedTokens: number | undefined) => void;
    /** To be called when the first token has come, so that the endpoint's speed is learned. */
    readonly firstToken: () => void;
    /** To be called exactly once, when the try is over. */
    readonly end: (outcome: PlacementOutcome) => void;
};
