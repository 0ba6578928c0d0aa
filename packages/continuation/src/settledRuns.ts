import type { Millis } from "@azureshunt/core";

import type { EndpointRun } from "./EndpointRun.js";
import type { VersionHistory } from "./VersionHistory.js";

/**
 * Selects the endpoints at which a new stream may begin.
 *
 * A VM that has not read the entry of a new version yet takes all streams for ones of the version before. So no stream
 * begins at a new version until all VMs whose registry is current must know of it, unless it has replaced all others.
 *
 * @param settleMs longest time until VMs whose registry is current know an entry
 */
export function settledRuns<Run extends EndpointRun>(
    runs: readonly Run[],
    { versions }: VersionHistory,
    settleMs: Millis,
    now: Millis,
): readonly Run[] {
    const settled = runs.filter(({ softwareVersion }) =>
        now - (versions.get(softwareVersion)?.firstAt ?? now) >= settleMs
    );
    return settled.length > 0 ? settled : runs;
}
