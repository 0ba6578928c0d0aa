import type { Millis } from "@azureshunt/core";

import type { LoadKind } from "./LoadKind.js";
import type { LoadState } from "./LoadState.js";

type HeadInputs = {
    readonly kind: LoadKind;
    /** How long the request has waited unread at least. */
    readonly waitedMs: Millis;
    /** Random number, uniform in [0, 1). */
    readonly draw: number;
};

/**
 * Decides at a request's head whether it is admitted. While the VM refuses nothing, everything is.
 *
 * A less urgent request that has already waited for longer than its objective is refused as well: its chance of being in
 * time is 0, and the CPU time goes to one that has a chance.
 */
export function admits(state: LoadState, { kind, waitedMs, draw }: HeadInputs): boolean {
    if (state.shedFraction === 0) {
        return true;
    }
    const load = state.kinds.get(kind.name);
    const isMostUrgent = [...state.kinds.values()].every(other => other.kind.priority >= kind.priority);
    return draw >= (load?.refusedFraction ?? 0) && (isMostUrgent || waitedMs < kind.objectiveMs);
}
