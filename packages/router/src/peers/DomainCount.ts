import type { FailureDomain, Millis } from "@azureshunt/core";

/** Number of VMs of a failure domain, as a relay counts them. */
export type DomainCount = {
    readonly failureDomain: FailureDomain;
    readonly vms: number;
    /** Number of these VMs that are silent. */
    readonly silent: number;
    /** Time since the relay last received anything of any of them. */
    readonly ageMs: Millis;
};
