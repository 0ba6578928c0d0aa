import type { FailureDomain } from "@azureshunt/core";

import type { EndpointGroup } from "./EndpointGroup.js";

/** Returns the group of the endpoints in a failure domain. */
export function domainGroup(failureDomain: FailureDomain): EndpointGroup {
    return `domain ${failureDomain}` as EndpointGroup;
}
