/** A transfer in the weight store's queue: one transfer at a time uses the whole bandwidth. */
type Transfer = {
    /** When the queue is empty again, in milliseconds since the epoch. */
    readonly busyUntil: number;
    /** Milliseconds from now until this transfer is complete. */
    readonly waitMs: number;
};

/** Adds a transfer to the end of the queue. */
export function reserveTransfer(busyUntil: number, durationMs: number, now: number): Transfer {
    const end = Math.max(busyUntil, now) + durationMs;
    return { busyUntil: end, waitMs: end - now };
}
