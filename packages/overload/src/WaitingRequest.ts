import type { Millis, OrganisationId } from "@azureshunt/core";

import type { WaitId } from "./WaitId.js";
import type { WaitTicket } from "./WaitTicket.js";

/** A request that waits in a VM. */
export type WaitingRequest = WaitTicket & {
    readonly id: WaitId;
    readonly priority: number;
    readonly organisation: OrganisationId | undefined;
    /** Until when it has to be sent for its response to be in time. */
    readonly inTimeUntil: Millis;
    /** Earliest time of its next placement. */
    readonly notBefore: Millis;
    /** When its predicted delay has passed. */
    readonly roomAt: Millis;
};
