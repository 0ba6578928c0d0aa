import type { Millis, OrganisationId } from "@azureshunt/core";

import type { LoadKind } from "./LoadKind.js";
import type { LoadState } from "./LoadState.js";
import { loadTiming } from "./loadTiming.js";
import { refusedFractionOf } from "./refusedFractionOf.js";

type HeadInputs = {
    readonly kind: LoadKind;
    /** Whose key the request has; `undefined` if none is valid. */
    readonly organisation?: OrganisationId | undefined;
    /** How long the request has waited unread at least. */
    readonly waitedMs: Millis;
    /** Random number, uniform in [0, 1). */
    readonly draw: number;
};

/** Fractions are quotients of sums, so a kind at its floor may be refused slightly less often than that. */
const TOLERANCE = 1e-6;

/**
 * Decides at a request's head whether it is admitted. While the VM refuses nothing, everything is.
 *
 * A request that has already waited for longer than its objective is refused as well: its chance of being in time is 0,
 * and the CPU time goes to one that has a chance. This holds only once every less urgent kind is refused down to its
 * floor, and leaves the kind its own floor; otherwise a kind with a tight objective would be refused before less urgent
 * ones.
 */
export function admits(state: LoadState, { kind, organisation, waitedMs, draw }: HeadInputs): boolean {
    if (state.shedFraction === 0 || draw >= 1 - loadTiming.minAdmitted) {
        return true;
    }
    const loads = [...state.kinds.values()];
    if (draw < refusedFractionOf(state, kind, organisation)) {
        return false;
    }
    const isMostUrgent = loads.every(other => other.kind.priority >= kind.priority);
    const areOthersAtFloor = loads.every(other =>
        other.kind.priority <= kind.priority || other.refusedFraction >= 1 - loadTiming.minAdmitted - TOLERANCE
    );
    return isMostUrgent || !areOthersAtFloor || waitedMs < kind.objectiveMs;
}
