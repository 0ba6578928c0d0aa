import type { VmId } from "@azureshunt/core";
import type { Membership, MembershipEvent } from "@azureshunt/membership";

/** Interface of the membership for allowances: home VMs and hand-overs between them. */
export type HomePort = {
    readonly membership: () => Membership;
    readonly tell: (event: MembershipEvent) => void;
    /** Registers a function that is called whenever members or homes may have changed. */
    readonly onHomesChanged: (listener: () => void) => void;
    /** Registers a function that is called when this VM must ask the VM `of` for a hand-over. */
    readonly onHandOverDue: (listener: (of: VmId, joinedAt: number) => void) => void;
    /**
     * Announces to all VMs, by a record in the log, that this VM leaves.
     *
     * @returns whether this daemon has read that record from the log before the timeout
     */
    readonly leave: () => Promise<boolean>;
};
