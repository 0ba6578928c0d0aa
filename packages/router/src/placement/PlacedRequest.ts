import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { PromptShare } from "./PromptShare.js";

/** What the choice of an endpoint needs to know of a request. */
export type PlacedRequest = {
    readonly service: ServiceName;
    readonly model: ModelName | undefined;
    /** Prompt tokens that an endpoint would have to read itself or could fetch, holding these weights. */
    readonly promptAt: (entry: EndpointEntry, weights: number | undefined) => PromptShare;
    readonly avoid: ReadonlySet<EndpointName>;
};
