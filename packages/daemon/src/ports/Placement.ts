import type { DispatchId, EndpointName, Incarnation, Millis } from "@azureshunt/core";

import type { PlacementOutcome } from "./PlacementOutcome.js";

/** The endpoint chosen for one try of a request. The try counts as in flight until `end` is called. */
export type Placement = {
    readonly dispatchId: DispatchId;
    readonly endpoint: EndpointName;
    readonly url: string;
    /** The endpoint's incarnation that the choice is based on; undefined for plain services. */
    readonly incarnation: Incarnation | undefined;
    /** Estimated time to the first token in milliseconds. */
    readonly estimate: Millis;
    /** Called when the head of the answer is received, which shows that the endpoint accepted the request. */
    readonly started: (incarnation: Incarnation | undefined, cachedTokens: number | undefined) => void;
    /** Called when the first token is received, so that the endpoint's speed is measured. */
    readonly firstToken: () => void;
    /** Called exactly once, when the try ends. */
    readonly end: (outcome: PlacementOutcome) => void;
};
