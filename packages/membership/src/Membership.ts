import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Departure } from "./Departure.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipRecord } from "./MembershipRecord.js";

/**
 * Members of the installation, folded from the log, and the state that decides whether this VM may serve as home.
 *
 * All VMs fold the same records in the same order. Two VMs are not home of the same organisation at the same time,
 * although their views may differ: each serves only after all others of its failure domain have handed over to it, or
 * were dropped from the platform's list long enough ago for their grants to have expired.
 *
 * Assumption: a VM that the platform no longer lists does not run. Otherwise a dropped VM that continued as home would
 * spend its failure domain's share in addition to the new home, up to twice the share of rate and burst.
 */
export type Membership = {
    /** This VM's own join record. */
    readonly self: MembershipRecord;
    readonly startedAt: Millis;
    /** Time after which a grant issued by a former incarnation or a dropped VM has expired. */
    readonly keepMs: Millis;
    /** Offset of the next record to fold. */
    readonly offset: number;
    /** Whether the log has been read from its first record, without a gap. */
    readonly complete: boolean;
    /** Whether the end of the log has been reached at least once. */
    readonly caughtUp: boolean;
    readonly members: ReadonlyMap<VmId, MemberEntry>;
    /** Whether any VM of this failure domain has left or been dropped, according to the records read. */
    readonly hadDepartures: boolean;
    /** Log offset of this VM's own join; undefined until it is read. */
    readonly joinedAt: number | undefined;
    /** When the own join was last appended; undefined if it has yet to be appended. */
    readonly appendedAt: Millis | undefined;
    /** Whether this VM's process stops. */
    readonly isLeaving: boolean;
    /** VMs of this failure domain that joined earlier and have not handed over yet. */
    readonly awaiting: readonly VmId[];
    readonly departures: readonly Departure[];
    /** Time at which buckets that nobody handed over count as empty; they accrue from then on. */
    readonly emptyFrom: Millis;
    /** Incarnations that this VM has handed over to; a second hand-over to one of them confirms nothing. */
    readonly handedTo: readonly Incarnation[];
    readonly tickedAt: Millis;
    /** Both are false after a suspension of this process, until log and list confirm that it is still a member. */
    readonly confirmedByLog: boolean;
    readonly confirmedByList: boolean;
};
