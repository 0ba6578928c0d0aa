import type { Millis, VmId } from "@azureshunt/core";

/** The newest record of the lease stream. */
type LeaseTail = {
    readonly offset: number;
    readonly holder: VmId;
    /** Earliest time at which this VM knows the record to have existed. */
    readonly knownSince: Millis;
};

/** The lease of the VM that issues orders, as one VM knows it. Times are of its own monotonic clock. */
export type OrderLease = {
    readonly vm: VmId;
    /** Offset of the next record; `undefined` until the stream has been read. */
    readonly end: number | undefined;
    readonly tail: LeaseTail | undefined;
    /** When this VM sent the append that made it the holder; `-Infinity` while it is not the holder. */
    readonly confirmedAt: Millis;
    /**
     * Since when this process knows of all orders that may still be carried out: it issued them itself, or the last
     * record of the issuer before it states them. `Infinity` until this process has held the lease.
     */
    readonly ordersKnownSince: Millis;
    /** Offset up to which all records since then are of this VM; `undefined` if this process has appended none. */
    readonly ownOffset: number | undefined;
    /** When the process last detected a suspension; `-Infinity` if it never did. */
    readonly suspendedAt: Millis;
    /** Since when there have been orders to issue; `undefined` while there are none. */
    readonly wantedAt: Millis | undefined;
    /** Whether a call to the store is in progress. */
    readonly isCallPending: boolean;
};
