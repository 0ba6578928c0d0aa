import type { EndpointName, FailureDomain, ServiceName } from "@azureshunt/core";

import type { EndpointEntry } from "../../registry/EndpointEntry.js";

/** Creates an endpoint's registry entry. */
export function entryOf(name: string, more: Partial<EndpointEntry> = {}): EndpointEntry {
    return {
        name: name as EndpointName,
        service: "desk" as ServiceName,
        address: "10.0.0.1:80",
        failureDomain: "fd" as FailureDomain,
        isLeaving: false,
        slots: 6,
        softwareVersion: undefined,
        versions: new Map(),
        bornAt: 1,
        ...more,
    };
}
