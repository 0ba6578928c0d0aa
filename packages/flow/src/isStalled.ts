import type { Millis } from "@azureshunt/core";

/** Growth within the time bound that counts as progress; a link that is slower than 1 KB/s serves no caller in time. */
const MIN_PROGRESS_BYTES = 4_096;

/** What has arrived of a head, a body or an event that is not complete. */
type Growth = {
    /** Start of the window; the next one begins when enough has arrived in this one. */
    readonly since: Millis;
    readonly bytes: number;
};

/**
 * Returns whether a head, a body or an event makes no progress. Load: endpoints that send a byte now and then, or bytes
 * that belong to nothing, for as long as they are read.
 */
export function isStalled({ since, bytes }: Growth, progressMs: Millis, now: Millis): boolean {
    return now - since >= progressMs && bytes < MIN_PROGRESS_BYTES;
}
