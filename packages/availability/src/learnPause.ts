import type { Millis } from "@azureshunt/core";

import { availabilityTiming } from "./availabilityTiming.js";
import type { EndpointAvailability } from "./EndpointAvailability.js";

/**
 * Applies a pause that an endpoint has asked a peer for. It binds the peer alone, but an endpoint that is full for one VM is
 * probably full for all.
 *
 * @param pause.pauseMs how much longer it lasts
 * @param pause.isShared whether the endpoint may take this VM for the peer, as one opens connections for the other. The
 *     pause binds both then.
 * @param random uniformly distributed in [0, 1); VMs that learn the same pause do not come back together
 */
export function learnPause(
    state: EndpointAvailability,
    { pauseMs, isShared }: { readonly pauseMs: Millis; readonly isShared: boolean; },
    now: Millis,
    random: number,
): EndpointAvailability {
    const { maxToldMs, sameToldMs, toldSpreadMs } = availabilityTiming;
    const toldUntil = now + Math.min(maxToldMs, pauseMs);
    if (toldUntil <= Math.max(now, state.toldUntil + sameToldMs)) {
        return state;
    }
    return {
        ...state,
        pausedUntil: isShared ? Math.max(state.pausedUntil, toldUntil) : state.pausedUntil,
        toldUntil,
        toldAt: now,
        avoidedUntil: Math.max(state.avoidedUntil, toldUntil + random * toldSpreadMs),
    };
}
