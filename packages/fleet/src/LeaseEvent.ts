import type { RecordId } from "@azureshunt/core";

/** Record of the lease stream as returned by the log. */
type LoggedRecord = { readonly offset: number; readonly id: RecordId; readonly data?: unknown; };

/** Event of a lease. */
export type LeaseEvent =
    | { readonly kind: "read"; readonly records: readonly LoggedRecord[]; }
    /** Records were removed unread: the reader's offset is before `start`, the oldest one in the log. */
    | { readonly kind: "expired"; readonly start: number; }
    /** The append is certain not to have taken effect. */
    | { readonly kind: "append-failed"; readonly id: RecordId; }
    /** Time has passed. `rank`: number of daemons that may claim before this one; `id`: id for the next record. */
    | { readonly kind: "tick"; readonly rank: number; readonly id: RecordId; };
