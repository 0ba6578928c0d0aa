import type { Millis } from "@azureshunt/core";

import type { LeaseState } from "./LeaseState.js";

/**
 * Returns the fencing token for an order if this daemon may send it now. Call it right before sending the first byte,
 * with a new reading of the clock, since the process may have been suspended since it planned the order.
 *
 * A holder that is suspended beyond its lease would still send its orders. An engine that checks fencing tokens refuses
 * these. To prevent the fault at other engines, the order must be certain to end within the lease, and a new holder
 * first waits for the maximum duration of an order of the previous holder. If a suspension between this check and the
 * sending lets an order through, later planning undoes it.
 *
 * @param checksFencing whether the engine refuses orders with an old fencing token
 * @param orderMs maximum duration of an order
 * @returns undefined if the order must not be sent
 */
export function fencingTokenForOrder(
    state: LeaseState,
    now: Millis,
    checksFencing: boolean,
    orderMs: Millis,
): number | undefined {
    const { holder, heldUntil, heldSince, incarnation } = state;
    if (holder?.incarnation !== incarnation || heldUntil <= now) {
        return undefined;
    }
    const isSafe = checksFencing || (heldUntil - now > orderMs && now - heldSince > orderMs);
    return isSafe ? holder.fencing : undefined;
}
