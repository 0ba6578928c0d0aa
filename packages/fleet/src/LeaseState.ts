import type { Incarnation, Millis, RecordId, VmId } from "@azureshunt/core";

/** Holder of the lease according to the records read so far. */
type Holder = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    /** Fencing token: the offset of the claim. Orders carry it, and that of a later holder is higher. */
    readonly fencing: number;
};

/** A failure domain's order lease as known to one daemon. All times are of the daemon's own monotonic clock. */
export type LeaseState = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly ttlMs: Millis;
    /** Offset of the next record to read. */
    readonly next: number;
    readonly holder: Holder | undefined;
    /** When the last valid record was read, or when this daemon started to read. */
    readonly silentSince: Millis;
    /** The append in progress, and when it was requested. */
    readonly pendingAppend: { readonly id: RecordId; readonly requestedAt: Millis; } | undefined;
    /** Until when this daemon holds the lease, measured from its request; 0 if it does not. */
    readonly heldUntil: Millis;
    /** When this daemon acquired the lease; from then on it waits for the last order of the previous holder to end. */
    readonly heldSince: Millis;
};
