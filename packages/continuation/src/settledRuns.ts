import type { Millis } from "@azureshunt/core";

import type { EndpointRun } from "./EndpointRun.js";
import type { VersionHistory } from "./VersionHistory.js";

/**
 * Selects the endpoints of versions that all VMs whose registry is current must know.
 *
 * A VM that has not read the entry of a new version yet takes all streams for ones of the version before. So new streams
 * begin at a new version only once it is known, or if no other one is left.
 *
 * @param settleMs longest time until VMs whose registry is current know an entry
 */
export function settledRuns<Run extends EndpointRun>(
    runs: readonly Run[],
    { versions }: VersionHistory,
    settleMs: Millis,
    now: Millis,
): readonly Run[] {
    return runs.filter(({ softwareVersion }) => now - (versions.get(softwareVersion)?.firstAt ?? now) >= settleMs);
}
