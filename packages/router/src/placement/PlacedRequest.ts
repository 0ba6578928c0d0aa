import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { PromptShare } from "./PromptShare.js";

/** What is needed of a request to choose its endpoint. */
export type PlacedRequest = {
    readonly service: ServiceName;
    readonly model: ModelName | undefined;
    /**
     * Prompt tokens that an endpoint with these weights would have to prefill or could fetch.
     *
     * @param peers returns all endpoints with these weights that could take the request, this one included
     */
    readonly promptAt: (
        entry: EndpointEntry,
        weights: number | undefined,
        peers: () => readonly EndpointEntry[],
    ) => PromptShare;
    /** Selects the endpoints of the service that may get the request; undefined if all may. */
    readonly select: ((entries: readonly EndpointEntry[]) => readonly EndpointEntry[]) | undefined;
    /** Endpoints that must not be chosen. */
    readonly avoid: ReadonlySet<EndpointName>;
};
