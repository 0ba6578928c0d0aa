import type { EndpointName } from "@azureshunt/core";

import type { Weights } from "./Weights.js";

/** Last state reported by an engine. Engines that did not answer are left out of planning. */
export type ObservedEngine = {
    readonly name: EndpointName;
    readonly holds: readonly Weights[];
    /** Weights whose load has been ordered and has not ended. */
    readonly loading: readonly Weights[];
};
