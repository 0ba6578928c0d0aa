import type { VmId } from "@azureshunt/core";

import type { OrderLease } from "./OrderLease.js";

/** The lease as a process knows it at its start. */
export function newOrderLease(vm: VmId): OrderLease {
    return {
        vm,
        end: undefined,
        tail: undefined,
        confirmedAt: -Infinity,
        pausedAt: -Infinity,
        wantedAt: undefined,
        isAsking: false,
    };
}
