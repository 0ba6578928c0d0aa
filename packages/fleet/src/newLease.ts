import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { LeaseState } from "./LeaseState.js";

/**
 * Creates the lease state of a daemon at its start. Nothing is known then, and a previous process on the same VM may
 * still hold the lease.
 *
 * @param ttlMs validity of a claim or renewal
 */
export function newLease(vm: VmId, incarnation: Incarnation, ttlMs: Millis, now: Millis): LeaseState {
    return {
        vm,
        incarnation,
        ttlMs,
        next: 0,
        holder: undefined,
        silentSince: now,
        pendingAppend: undefined,
        heldUntil: 0,
        heldSince: 0,
    };
}
