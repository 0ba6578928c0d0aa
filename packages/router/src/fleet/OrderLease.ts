import type { Millis, VmId } from "@azureshunt/core";

/** The newest record of the lease stream. */
type LeaseTail = {
    readonly offset: number;
    readonly holder: VmId;
    /** This VM knows that the record has lain there since then. */
    readonly knownSince: Millis;
};

/** The lease of the VM that gives orders, as one VM knows it. Times are of its own monotonic clock. */
export type OrderLease = {
    readonly vm: VmId;
    /** Offset of the next record; undefined until the stream has been read. */
    readonly end: number | undefined;
    readonly tail: LeaseTail | undefined;
    /** When this VM sent the append that made it the holder; −∞ while it is not. */
    readonly confirmedAt: Millis;
    /** When the process last noticed that it had been suspended; −∞ while it never was. */
    readonly pausedAt: Millis;
    /** Since when there have been orders to give; undefined while there are none. */
    readonly wantedAt: Millis | undefined;
    /** Whether a call to the store is on its way. */
    readonly isAsking: boolean;
};
