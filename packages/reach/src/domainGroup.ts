import type { FailureDomain, ServiceName } from "@azureshunt/core";

import type { EndpointGroup } from "./EndpointGroup.js";

/** Returns the group of the endpoints of a service in a failure domain. */
export function domainGroup(service: ServiceName, failureDomain: FailureDomain): EndpointGroup {
    return `service ${service} in ${failureDomain}` as EndpointGroup;
}
