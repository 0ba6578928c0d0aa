import type { Millis } from "@azureshunt/core";

import { leaseTiming } from "./leaseTiming.js";
import type { OrderLease } from "./OrderLease.js";

/**
 * The fencing token for an order that is sent now; undefined where this VM must not send one. To be asked right before
 * the first byte goes out.
 */
export function orderFence(lease: OrderLease, now: Millis): number | undefined {
    const isHolder = lease.tail?.holder === lease.vm && now - lease.confirmedAt < leaseTiming.holdMs;
    return isHolder ? lease.tail?.offset : undefined;
}
