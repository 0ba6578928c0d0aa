import type { FailureDomain, VmId } from "@azureshunt/core";

/** A VM that exists only as the state that others have of it. */
export type SimulatedVm = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly isRelay: boolean;
    /** Address that is stated; only VMs that send to the measured one have a socket of their own. */
    readonly address: string;
};
