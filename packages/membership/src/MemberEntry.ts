import type { FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";

/** One VM that has joined and has neither left nor been dropped. */
export type MemberEntry = {
    readonly vm: VmId;
    readonly run: Incarnation;
    readonly failureDomain: FailureDomain;
    readonly peer: string;
    readonly admin: string;
    /** When this VM folded the join of that run. */
    readonly since: Millis;
    /** Whether the platform's list has shown it since; one that was never listed may just be new to a lagging list. */
    readonly listed: boolean;
    readonly state: "live" | "leaving";
    /** Since when the platform's list lacks it. */
    readonly missingSince: Millis | undefined;
};
