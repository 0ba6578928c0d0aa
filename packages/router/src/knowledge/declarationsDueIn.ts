import type { Millis } from "@azureshunt/core";

import type { ReaderScope } from "../peers/ReaderScope.js";
import type { DeclaredState } from "./DeclaredState.js";
import { readTiming } from "./readTiming.js";

/** Minimum time between two reads: the store may be outdated, or hold no readable record, for seconds. */
const MIN_READ_INTERVAL_MS: Millis = 250;

type DueInputs = {
    readonly declaredState: DeclaredState;
    /** When this VM last sent a read to the store; `-Infinity` until then. */
    readonly requestedAt: Millis;
    /** For which VMs this VM reads the declarations. */
    readonly scope: ReaderScope;
    /** Time in which a change must be in force. */
    readonly configurationMs: Millis;
};

/**
 * Returns in how many milliseconds a VM has to read the operators' declarations; 0 or less means now.
 *
 * With dozens of VMs that each keep a long-polling read open, nearly all of these reads would return nothing. So one VM
 * reads for all VMs whose beacons reach each other, and beacons confirm the declared state. A VM that receives a newer
 * revision number reads at once. A VM whose last confirmation gets old, since the reader died or is cut off, reads for
 * itself, first the reader of its failure domain; this needs no agreement between VMs.
 */
export function declarationsDueIn(
    { declaredState, requestedAt, scope, configurationMs }: DueInputs,
    now: Millis,
): Millis {
    if (scope === "fleet") {
        return 0;
    }
    const isOutdated = declaredState.newestRevision > (declaredState.configuration?.revision ?? -1);
    const { domainReadAgeMs, followerReadAgeMs } = readTiming(configurationMs);
    const readAgeMs = scope === "domain" ? domainReadAgeMs : followerReadAgeMs;
    const dueAt = isOutdated ? -Infinity : declaredState.confirmedAt + readAgeMs;
    return Math.max(dueAt, requestedAt + MIN_READ_INTERVAL_MS) - now;
}
