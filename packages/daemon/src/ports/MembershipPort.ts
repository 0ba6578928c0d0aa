import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";

/** One entry VM as this daemon knows it. */
type Member = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
    readonly peer: string;
    readonly admin: string;
    /** The run of the daemon there, once its join record or an exchange has told it. */
    readonly incarnation: Incarnation | undefined;
};

/** Which VMs exist. */
export type MembershipPort = {
    readonly self: Member;
    /** All members, this one among them. */
    readonly members: () => readonly Member[];
    readonly subscribe: (onChange: (members: readonly Member[]) => void) => () => void;
};
