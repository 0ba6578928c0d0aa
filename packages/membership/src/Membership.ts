import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Departure } from "./Departure.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipRecord } from "./MembershipRecord.js";

/**
 * Which VMs exist, folded from the log, and what this VM may do as home.
 *
 * All VMs fold the same records in the same order. What keeps two VMs from being home of the same organisation is not
 * that their views agree, but that each serves only after all others of its failure domain have handed over to it, or
 * were dropped from the platform's list long enough ago for their grants to have run out.
 *
 * Assumed: a VM that the platform's list has dropped runs no more. Without that, a dropped VM that went on as home would
 * spend its failure domain's share beside the new home, up to twice the share of rate and burst.
 */
export type Membership = {
    /** This VM's own join record. */
    readonly self: MembershipRecord;
    readonly startedAt: Millis;
    /** Time after which a grant that a former run or a dropped VM gave has run out. */
    readonly keepMs: Millis;
    /** Offset of the next record to fold. */
    readonly offset: number;
    /** Whether the log has been read from its very first record. */
    readonly complete: boolean;
    /** Whether the fold has reached the end of the log once. */
    readonly caughtUp: boolean;
    readonly members: ReadonlyMap<VmId, MemberEntry>;
    /** Whether any VM of the own failure domain has ever left or been dropped, as far as the log tells. */
    readonly hadDepartures: boolean;
    /** Offset of the own join; undefined until it is folded. */
    readonly joinedAt: number | undefined;
    readonly appendedAt: Millis | undefined;
    /** VMs of the own failure domain that joined earlier and have not handed over yet. */
    readonly awaiting: readonly VmId[];
    readonly departures: readonly Departure[];
    /** From when buckets that nobody handed over count as empty. */
    readonly emptyFrom: Millis;
    /** Runs that this VM has handed over to; a second hand-over vouches for nothing. */
    readonly handedTo: readonly Incarnation[];
    readonly tickedAt: Millis;
    /** False after a pause of this process, until list and log have confirmed that it is still a member. */
    readonly confirmedByLog: boolean;
    readonly confirmedByList: boolean;
};
