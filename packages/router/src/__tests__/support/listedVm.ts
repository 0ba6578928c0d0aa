import type { FailureDomain, VmId } from "@azureshunt/core";

import type { ListedVm } from "../../peers/ListedVm.js";

/** Capacities of the first two VMs of each failure domain, and of the others. */
const LARGE = 1.35;
const SMALL = 0.3;

/**
 * Makes a listed VM. Names sort by failure domain and number; the first two of each domain have the highest capacity.
 */
export function listedVm(domain: number, number: number): ListedVm {
    return {
        vm: `vm-${domain}-${String(number).padStart(3, "0")}` as VmId,
        address: `10.0.${domain}.${number}:1`,
        failureDomain: `domain-${domain}` as FailureDomain,
        capacity: number < 2 ? LARGE : SMALL,
    };
}
