import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";

/**
 * Returns the name under which VMs state how many requests they place at the endpoints of a service, in the rows of their
 * load. It is no endpoint's name, so the row counts for none; relays add up and expire such rows like the others.
 */
export function offeredName(
    { service, model }: { readonly service: ServiceName; readonly model: ModelName | undefined; },
): EndpointName {
    return `offered:${service}/${model ?? ""}` as EndpointName;
}
