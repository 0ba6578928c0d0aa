import type { FailureDomain, Millis } from "@azureshunt/core";

/** Number of VMs of a failure domain, as a relay counts them. */
export type DomainCount = {
    readonly failureDomain: FailureDomain;
    readonly vms: number;
    /** Number of these VMs that are silent. */
    readonly silent: number;
    /**
     * Time since any of them was last seen, by this relay or another, at most `peerTiming.goneMs`; 0 for the relay's
     * own failure domain.
     */
    readonly ageMs: Millis;
};
