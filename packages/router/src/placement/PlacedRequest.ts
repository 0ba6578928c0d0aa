import type { EndpointName, ModelName, ServiceName, Tokens } from "@azureshunt/core";

/** What the choice of an endpoint needs to know of a request. */
export type PlacedRequest = {
    readonly service: ServiceName;
    readonly model: ModelName | undefined;
    readonly memoryTokens: Tokens;
    /** Prompt tokens that an endpoint would have to read itself, holding these weights. */
    readonly missingAt: (endpoint: EndpointName, weights: number | undefined) => Tokens;
    readonly avoid: ReadonlySet<EndpointName>;
};
