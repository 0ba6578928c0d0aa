import type { FailureDomain, VmId } from "@azureshunt/core";
import type { Membership } from "@azureshunt/membership";

import type { Allowance } from "../../Allowance.js";

/** One VM of a simulated fleet; its fields change as the run goes on. */
export type SimulatedVm = {
    readonly vm: VmId;
    readonly domain: FailureDomain;
    /** How much slower than real time its clock runs. */
    readonly clockRate: number;
    /** Counts processes; 0 while none runs. */
    process: number;
    pausedUntil: number;
    wakesAt: number;
    membership: Membership;
    allowance: Allowance;
    readonly waiting: Map<number, { readonly tokens: number; readonly since: number; }>;
};
