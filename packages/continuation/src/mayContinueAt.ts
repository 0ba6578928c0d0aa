import type { EndpointRun } from "./EndpointRun.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** Returns whether an endpoint writes the rest of a stream in the way in which it began. */
export function mayContinueAt({ softwareVersion, first }: StreamOrigin, run: EndpointRun): boolean {
    return softwareVersion === undefined
        ? run.name === first?.name && run.bornAt === first.bornAt
        : run.softwareVersion === softwareVersion;
}
