import type { VmId } from "@azureshunt/core";

import type { LeaseOrders } from "./LeaseOrders.js";

/** A record of the order lease in the store. */
export type LeaseRecord = {
    readonly holder: VmId;
    /** `undefined` if the holder did not know all of them, or runs an earlier version. */
    readonly orders: LeaseOrders | undefined;
};
