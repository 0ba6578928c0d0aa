import type { FailureDomain, VmId } from "@azureshunt/core";
import type { Membership } from "@azureshunt/membership";

import type { Allowance } from "../../Allowance.js";

/** One simulated VM; its fields change during the simulation. */
export type SimulatedVm = {
    readonly vm: VmId;
    readonly domain: FailureDomain;
    /** Speed of its clock as a fraction of real time. */
    readonly clockRate: number;
    /** Number of the current process; 0 while none runs. */
    process: number;
    suspendedUntil: number;
    wakesAt: number;
    membership: Membership;
    allowance: Allowance;
    readonly waiting: Map<number, { readonly tokens: number; readonly since: number; }>;
};
