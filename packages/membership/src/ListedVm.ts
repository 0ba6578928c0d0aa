import type { FailureDomain, VmId } from "@azureshunt/core";

/** A VM as listed by the platform. */
export type ListedVm = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
    readonly peer: string;
    readonly admin: string;
};
