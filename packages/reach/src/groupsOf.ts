import { allEndpoints } from "./allEndpoints.js";
import { domainGroup } from "./domainGroup.js";
import type { EndpointGroup } from "./EndpointGroup.js";
import type { LinkTarget } from "./LinkTarget.js";
import { serviceGroup } from "./serviceGroup.js";

/** Lists the groups of an endpoint, the largest first. */
export function groupsOf({ service, failureDomain }: LinkTarget): readonly EndpointGroup[] {
    return [allEndpoints, serviceGroup(service), domainGroup(service, failureDomain)];
}
