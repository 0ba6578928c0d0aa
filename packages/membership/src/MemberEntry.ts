import type { FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";

/** A VM that has joined and has neither left nor been dropped. */
export type MemberEntry = {
    readonly vm: VmId;
    readonly run: Incarnation;
    readonly failureDomain: FailureDomain;
    readonly peer: string;
    readonly admin: string;
    /** When this VM processed the join record of that incarnation. */
    readonly since: Millis;
    /**
     * Whether the platform has listed it since then; one that was never listed may be missing only because the list
     * lags.
     */
    readonly listed: boolean;
    readonly state: "live" | "leaving";
    /** Since when the platform's list lacks it; undefined if it does not. */
    readonly missingSince: Millis | undefined;
};
