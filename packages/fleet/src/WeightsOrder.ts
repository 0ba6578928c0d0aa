import type { EndpointName } from "@azureshunt/core";

import type { Weights } from "./Weights.js";

/** Order to an engine to load or unload weights. It is idempotent. */
export type WeightsOrder = {
    readonly endpoint: EndpointName;
    readonly action: "load" | "unload";
    readonly weights: Weights;
};
