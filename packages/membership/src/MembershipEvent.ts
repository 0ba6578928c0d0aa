import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { ListedVm } from "./ListedVm.js";
import type { MembershipRecord } from "./MembershipRecord.js";

/** Event that changes the membership. */
export type MembershipEvent =
    /** A page of the log was read. */
    | {
        readonly kind: "read";
        /** Offset at which the page begins. */
        readonly from: number;
        /** Offset after its last record. */
        readonly next: number;
        readonly atEnd: boolean;
        readonly records: readonly { readonly offset: number; readonly record: MembershipRecord; }[];
    }
    /** The platform's list was read. */
    | { readonly kind: "listed"; readonly vms: readonly ListedVm[]; }
    /** A VM of this failure domain has stopped serving as home of the organisations whose home is this VM now. */
    | {
        readonly kind: "handed-over";
        readonly from: VmId;
        /**
         * Time for which buckets that were not handed over have accrued; negative while grants have still to expire.
         */
        readonly ageMs: Millis;
    }
    /** This VM has handed over to another VM. */
    | { readonly kind: "gave"; readonly to: Incarnation; }
    /** This VM's process stops: it gives up its membership, and does not join again. */
    | { readonly kind: "leave"; }
    /** Sent several times per second. */
    | { readonly kind: "tick"; };
