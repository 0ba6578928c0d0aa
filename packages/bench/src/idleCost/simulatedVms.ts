import type { FailureDomain, VmId } from "@azureshunt/core";

import type { IdleCase } from "./IdleCase.js";
import type { SimulatedVm } from "./SimulatedVm.js";

const RELAYS = 2;
const HOST_BYTE = 250;

/**
 * Lists the VMs beside the VM under test, which is the first VM of the first failure domain. The first two VMs of a domain
 * are its relays, except that a leaf takes its place after them.
 *
 * @param network second byte of the addresses, so that several fleets can be simulated at the same time
 */
export function simulatedVms({ vms, domains, role }: IdleCase, network: number): readonly SimulatedVm[] {
    return Array.from({ length: vms - 1 }, (_, i) => i + 1).map(index => {
        const domain = index % domains;
        const place = Math.floor(index / domains) - (role === "leaf" && domain === 0 ? 1 : 0);
        return {
            vm: `vm-${String(index).padStart(3, "0")}` as VmId,
            failureDomain: `d${domain}` as FailureDomain,
            isRelay: place < RELAYS,
            address: `127.${network}.${Math.floor(index / HOST_BYTE)}.${1 + index % HOST_BYTE}:7600`,
        };
    });
}
