import type { Incarnation, Millis, RecordId, VmId } from "@azureshunt/core";

/** Who holds the lease as far as the log was read. */
type Holder = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    /** Offset of the claim: orders carry it, and a later holder's is higher. */
    readonly fencing: number;
};

/** One failure domain's lease as one daemon knows it. All times are of the daemon's own monotonic clock. */
export type LeaseState = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly ttlMs: Millis;
    /** Offset of the next record to read. */
    readonly next: number;
    readonly holder: Holder | undefined;
    /** When the last valid record was read, or when this daemon began to read. */
    readonly quietSince: Millis;
    /** The append that is on its way, and when it was asked for. */
    readonly asked: { readonly id: RecordId; readonly at: Millis; } | undefined;
    /** Until when this daemon holds the lease, counted from when it asked; 0 when it does not. */
    readonly heldUntil: Millis;
    /** When this daemon's holding began; it waits out a former holder's last order from here. */
    readonly heldSince: Millis;
};
