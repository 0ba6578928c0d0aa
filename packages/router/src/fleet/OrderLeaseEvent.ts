import type { Millis, VmId } from "@azureshunt/core";

/** Event that changes the order lease. */
export type OrderLeaseEvent =
    | {
        readonly kind: "read";
        readonly records: readonly { readonly offset: number; readonly holder: VmId; }[];
        readonly end: number;
    }
    /** This VM's record was appended by a call sent at `requestedAt`. */
    | {
        readonly kind: "appended";
        readonly offset: number;
        readonly requestedAt: Millis;
        /** Whether the orders of the writer of the record before it are known; needed if that was another process. */
        readonly areOrdersKnown?: boolean;
    }
    /** A call failed: another record came first, or no answer came. The stream has to be read. */
    | { readonly kind: "call-failed"; }
    /** A peer reports that a record has existed for `ageMs`. */
    | { readonly kind: "peer-record"; readonly offset: number; readonly holder: VmId; readonly ageMs: Millis; }
    /** The process may have been suspended. */
    | { readonly kind: "suspended"; }
    /**
     * `rank`: how many VMs may claim before this one; `isWanted`: whether there are orders to issue; `isRenewalDue`:
     * whether there are some that the newest record does not allow.
     */
    | {
        readonly kind: "tick";
        readonly isWanted: boolean;
        readonly rank: number;
        readonly isRenewalDue?: boolean;
    };
