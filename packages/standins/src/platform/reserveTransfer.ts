/** The weight store's line: one transfer at a time has the whole bandwidth. */
type Transfer = {
    readonly busyUntil: number;
    /** Milliseconds from now until this transfer is complete. */
    readonly waitMs: number;
};

/** Puts a transfer at the end of the line. */
export function reserveTransfer(busyUntil: number, durationMs: number, now: number): Transfer {
    const end = Math.max(busyUntil, now) + durationMs;
    return { busyUntil: end, waitMs: end - now };
}
