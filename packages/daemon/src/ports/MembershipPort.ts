import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";

/** One VM that serves callers, as this daemon knows it. */
type Member = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
    readonly peer: string;
    readonly admin: string;
    /** Incarnation of its daemon; undefined until a join record or an exchange states it. */
    readonly incarnation: Incarnation | undefined;
};

/** Lists the member VMs. */
export type MembershipPort = {
    readonly self: Member;
    /** All members, including this VM. */
    readonly members: () => readonly Member[];
    readonly subscribe: (onChange: (members: readonly Member[]) => void) => () => void;
};
