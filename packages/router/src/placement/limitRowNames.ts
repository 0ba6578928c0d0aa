import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";

/** The endpoints that could serve a request: those of a service, with a model if the request names one. */
type Pool = { readonly service: ServiceName; readonly model: ModelName | undefined; };

/**
 * Names of rows in a VM's load that are about no endpoint. Relays add such rows up and let them expire like the others, also
 * those that run an earlier version.
 */
const limitRowNames = {
    /** Requests in 1,000 s that a VM places in a pool with limited endpoints. */
    offered: ({ service, model }: Pool): EndpointName => `offered:${service}/${model ?? ""}` as EndpointName,
    /** Requests that a VM has lately sent to a limited endpoint. */
    sent: (endpoint: EndpointName): EndpointName => `sent:${endpoint}` as EndpointName,
} as const;

export { limitRowNames };
