import type { EndpointName } from "@azureshunt/core";

import type { Weights } from "./Weights.js";

/** One order to an engine. Idempotent: the engine does nothing when it is so already. */
export type FleetOrder = {
    readonly endpoint: EndpointName;
    readonly action: "load" | "unload";
    readonly weights: Weights;
};
