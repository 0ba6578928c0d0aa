import type { VmId } from "@azureshunt/core";

import type { OrderLease } from "./OrderLease.js";

/** Returns the lease as a process knows it when it starts. */
export function newOrderLease(vm: VmId): OrderLease {
    return {
        vm,
        end: undefined,
        tail: undefined,
        confirmedAt: -Infinity,
        ownOffset: undefined,
        ordersKnownSince: Infinity,
        suspendedAt: -Infinity,
        wantedAt: undefined,
        isCallPending: false,
    };
}
