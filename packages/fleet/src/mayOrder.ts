import type { Millis } from "@azureshunt/core";

import type { LeaseState } from "./LeaseState.js";

/**
 * Whether this daemon may send an order now. To be asked right before the first byte goes out, with the clock read
 * anew, since the process may have been paused since it planned the order.
 *
 * Failure: a holder is paused beyond its lease and sends on. An engine that checks fencing numbers refuses it. For one
 * that does not, guard: the order must surely end within the lease, and a new holder waits as long as an order of the
 * former one can take. What slips through a pause between this check and the sending is undone by planning again.
 *
 * @param checksFencing whether the engine refuses orders with an old fencing number
 * @param orderMs longest time that an order takes
 * @returns the fencing number for the order; undefined when it must not be sent
 */
export function mayOrder(state: LeaseState, now: Millis, checksFencing: boolean, orderMs: Millis): number | undefined {
    const { holder, heldUntil, heldSince, incarnation } = state;
    if (holder?.incarnation !== incarnation || heldUntil <= now) {
        return undefined;
    }
    const isSafe = checksFencing || (heldUntil - now > orderMs && now - heldSince > orderMs);
    return isSafe ? holder.fencing : undefined;
}
