import type { VmId } from "@azureshunt/core";

import type { LeaseStatement } from "./LeaseStatement.js";

/** A record of the order lease in the store. */
export type LeaseRecord = {
    readonly holder: VmId;
    /** `undefined` if the holder did not know all orders that may still be carried out, or runs an earlier version. */
    readonly stated: LeaseStatement | undefined;
};
