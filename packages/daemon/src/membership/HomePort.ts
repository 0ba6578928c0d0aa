import type { VmId } from "@azureshunt/core";
import type { Membership, MembershipEvent } from "@azureshunt/membership";

/** What the allowances need of the membership: who is home, and the hand-overs between homes. */
export type HomePort = {
    readonly membership: () => Membership;
    readonly tell: (event: MembershipEvent) => void;
    /** Calls the function whenever members or homes may have changed. */
    readonly onHomesChanged: (listener: () => void) => void;
    /** Calls the function when another VM is to be asked for a hand-over. */
    readonly onHandOverDue: (listener: (of: VmId, joinedAt: number) => void) => void;
    /**
     * Tells all VMs that this one stops.
     *
     * @returns whether this daemon has seen its own record in the log
     */
    readonly leave: () => Promise<boolean>;
};
