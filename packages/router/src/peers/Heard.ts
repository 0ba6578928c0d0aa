import type { FailureDomain, Incarnation, Millis } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";

/** The last beacon of another VM. */
export type Heard = {
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomain;
    readonly at: Millis;
    readonly beacon: Beacon;
    /**
     * Not later than when the beacon was sent, on this VM's own clock; −∞ while the other VM has not sent back a time
     * stamp of this process.
     */
    readonly sentAfter: Millis;
    /** This VM's own time stamp from which that is reckoned; −∞ likewise. */
    readonly stampedAt: Millis;
};
