import type { Millis, OrganisationId } from "@azureshunt/core";

import type { WaitId } from "./WaitId.js";
import type { WaitTicket } from "./WaitTicket.js";

/** A request that no endpoint has room for, and that asks to wait. */
export type WaitRequest = {
    readonly id: WaitId;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly organisation: OrganisationId | undefined;
    readonly arrivedAt: Millis;
    readonly objectiveMs: Millis;
    readonly deadline: Millis;
    /** Predicted time from its turn at the endpoint to its response. */
    readonly ownMs: Millis;
    /** Predicted time until there is room. */
    readonly delayMs: Millis;
    /** Its ticket if it has waited before; `undefined` for one that asks for the first time. */
    readonly earlier: WaitTicket | undefined;
};
