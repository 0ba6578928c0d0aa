import type { Millis } from "@azureshunt/core";

import { leaseTiming } from "./leaseTiming.js";
import type { OrderLease } from "./OrderLease.js";

/**
 * Returns the fencing token of an order sent now; `undefined` if this VM must not send one. To be called right before
 * the first byte is sent.
 */
export function orderFence(lease: OrderLease, now: Millis): number | undefined {
    const isHolder = lease.tail?.holder === lease.vm && now - lease.confirmedAt < leaseTiming.holdMs;
    return isHolder ? lease.tail?.offset : undefined;
}
