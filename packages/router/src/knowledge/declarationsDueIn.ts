import type { Millis } from "@azureshunt/core";

import type { DeclaredState } from "./DeclaredState.js";

/**
 * Age of the last confirmation at which a VM that leaves reading to another one reads for itself: early enough for a
 * second read before keys are refused, and late enough for one or two beacons to be lost.
 */
const FOLLOWER_READ_AGE_MS: Millis = 2_500;

/** Minimum time between two reads: the store may be outdated, or hold no readable record, for seconds. */
const MIN_READ_INTERVAL_MS: Millis = 250;

type DueInputs = {
    readonly declaredState: DeclaredState;
    /** When this VM last sent a read to the store; `-Infinity` until then. */
    readonly requestedAt: Millis;
    /** Whether this VM reads the declarations for the others of its failure domain. */
    readonly isReader: boolean;
};

/**
 * Returns in how many milliseconds a VM has to read the operators' declarations; 0 or less means now.
 *
 * With dozens of VMs that each keep a long-polling read open, nearly all of these reads would return nothing. So one VM
 * of each failure domain reads, and its beacons confirm the declared state of the others. A VM that receives a newer
 * revision number reads at once. A VM whose last confirmation gets old, since its reader died or is cut off, reads for
 * itself; this needs no agreement between VMs.
 */
export function declarationsDueIn({ declaredState, requestedAt, isReader }: DueInputs, now: Millis): Millis {
    if (isReader) {
        return 0;
    }
    const isOutdated = declaredState.newestRevision > (declaredState.configuration?.revision ?? -1);
    const dueAt = isOutdated ? -Infinity : declaredState.confirmedAt + FOLLOWER_READ_AGE_MS;
    return Math.max(dueAt, requestedAt + MIN_READ_INTERVAL_MS) - now;
}
