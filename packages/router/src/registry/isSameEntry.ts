import type { EndpointEntry } from "./EndpointEntry.js";

/** Returns whether two entries of an endpoint say the same. */
export function isSameEntry(a: EndpointEntry, b: EndpointEntry): boolean {
    return a === b || (
        a.name === b.name
        && a.service === b.service
        && a.address === b.address
        && a.failureDomain === b.failureDomain
        && a.isLeaving === b.isLeaving
        && a.slots === b.slots
        && a.softwareVersion === b.softwareVersion
        && a.bornAt === b.bornAt
        && a.versions.size === b.versions.size
        && [...a.versions].every(([model, version]) => b.versions.get(model) === version)
    );
}
