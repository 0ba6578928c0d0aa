import type { EndpointName } from "@azureshunt/core";

import type { Weights } from "./Weights.js";

/** What an engine last said of itself. Engines that did not answer are left out of what is planned with. */
export type ObservedEngine = {
    readonly name: EndpointName;
    readonly holds: readonly Weights[];
    /** Weights whose load has been ordered and is not over. */
    readonly loading: readonly Weights[];
};
