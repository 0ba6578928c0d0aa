import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { ListedVm } from "./ListedVm.js";
import type { MembershipRecord } from "./MembershipRecord.js";

/** What the membership reacts to. */
export type MembershipEvent =
    /** A page of the log was read. */
    | {
        readonly kind: "read";
        /** Offset that the page begins at, and the offset after its last record. */
        readonly from: number;
        readonly next: number;
        readonly atEnd: boolean;
        readonly records: readonly { readonly offset: number; readonly record: MembershipRecord; }[];
    }
    /** The platform's list was read. */
    | { readonly kind: "listed"; readonly vms: readonly ListedVm[]; }
    /** A VM of the own failure domain no longer acts as home for what is homed here. */
    | {
        readonly kind: "handed-over";
        readonly from: VmId;
        /** Milliseconds since which buckets not handed over have accrued; negative while it is still to wait. */
        readonly ageMs: Millis;
    }
    /** Another VM was handed over to. */
    | { readonly kind: "gave"; readonly to: Incarnation; }
    /** Comes several times a second. */
    | { readonly kind: "tick"; };
