import { FailureDomain, ServiceName } from "@azureshunt/core";

import type { LinkTarget } from "../../LinkTarget.js";

/** Returns an endpoint by its address, with service and failure domain as in `"lm a 10.0.0.1:80"`. */
export function targetOf(text: string): LinkTarget {
    const [service, failureDomain, address = ""] = text.split(" ");
    return { address, service: ServiceName.parse(service), failureDomain: FailureDomain.parse(failureDomain) };
}
