import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { LeaseState } from "./LeaseState.js";

/**
 * The lease as a daemon knows it at its start: nothing is known, and a former process on the same VM may still hold it.
 *
 * @param ttlMs milliseconds that a claim or renewal holds
 */
export function newLease(vm: VmId, incarnation: Incarnation, ttlMs: Millis, now: Millis): LeaseState {
    return {
        vm,
        incarnation,
        ttlMs,
        next: 0,
        holder: undefined,
        quietSince: now,
        asked: undefined,
        heldUntil: 0,
        heldSince: 0,
    };
}
