import { EndpointName, ServiceName } from "@azureshunt/core";

import type { RegisteredRun } from "../../RegisteredRun.js";

/** Creates a registered endpoint of the service `lm`. */
export function runOf(name: string, softwareVersion: string | undefined, bornAt = 0): RegisteredRun {
    return { name: EndpointName.parse(name), service: ServiceName.parse("lm"), softwareVersion, bornAt };
}
