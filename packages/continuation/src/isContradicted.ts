import type { Millis } from "@azureshunt/core";

import type { EndpointRun } from "./EndpointRun.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** Maximum difference between the wall clocks of VMs and endpoints. */
const CLOCK_SKEW_MS: Millis = 1_000;

/**
 * Returns whether a later entry of the first endpoint shows that its version is not certain.
 *
 * If a process starts again under its name with another version, requests may reach it before its entry does. The entry
 * that was known then states the version of the process before.
 *
 * @param run the entry that is known now under the first endpoint's name
 */
export function isContradicted({ softwareVersion, first }: StreamOrigin, run: EndpointRun | undefined): boolean {
    return run !== undefined && first !== undefined && run.name === first.name &&
        run.bornAt > first.bornAt && run.softwareVersion !== softwareVersion &&
        run.bornAt <= first.eventAt + CLOCK_SKEW_MS;
}
