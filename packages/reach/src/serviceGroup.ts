import type { ServiceName } from "@azureshunt/core";

import type { EndpointGroup } from "./EndpointGroup.js";

/** Returns the group of the endpoints of a service. */
export function serviceGroup(service: ServiceName): EndpointGroup {
    return `service ${service}` as EndpointGroup;
}
