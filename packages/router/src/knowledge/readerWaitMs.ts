import type { Millis } from "@azureshunt/core";

/** How long a read waits for a declaration: keys stay confirmed though the next read fails. */
const WAIT_MS: Millis = 1_200;
/** Part of the time between two beacons by which it waits less: its word is older when it comes to the others. */
const NEWS_PART = 0.5;

/**
 * Says how long a read of the VM that reads for the others waits for a declaration, in whole milliseconds.
 *
 * @param newsEveryMs time between two beacons to one VM
 */
export function readerWaitMs(newsEveryMs: Millis): Millis {
    return Math.round(WAIT_MS - NEWS_PART * newsEveryMs);
}
