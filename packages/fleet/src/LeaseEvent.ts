import type { RecordId } from "@azureshunt/core";

/** One record of the lease stream, as the log gives it. */
type LoggedRecord = { readonly offset: number; readonly id: RecordId; readonly data?: unknown; };

/** What happens to a lease. */
export type LeaseEvent =
    | { readonly kind: "read"; readonly records: readonly LoggedRecord[]; }
    /** The reader's offset has fallen off the start of the log. */
    | { readonly kind: "expired"; readonly start: number; }
    /** The append surely has not taken effect. */
    | { readonly kind: "append-failed"; readonly id: RecordId; }
    /** Time has passed. `rank`: how many daemons go before this one in claiming; `id`: for the next record. */
    | { readonly kind: "tick"; readonly rank: number; readonly id: RecordId; };
