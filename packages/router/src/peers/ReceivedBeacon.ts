import type { FailureDomain, Incarnation, Millis } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";

/** The last beacon of a peer, and when it was received. */
export type ReceivedBeacon = {
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomain;
    readonly receivedAt: Millis;
    /**
     * Upper bound for the time at which the peer's process started, on this VM's clock; `-Infinity` if the peer does not
     * state its age.
     */
    readonly startedBefore: Millis;
    readonly beacon: Beacon;
    /**
     * Lower bound for the time at which the beacon was sent, on this VM's clock; `-Infinity` until the peer has echoed
     * a timestamp of this process.
     */
    readonly sentAfter: Millis;
    /** This VM's timestamp, echoed by the peer, from which `sentAfter` is computed; `-Infinity` until then. */
    readonly stampedAt: Millis;
};
