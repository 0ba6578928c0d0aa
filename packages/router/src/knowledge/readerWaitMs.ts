import type { Millis } from "@azureshunt/core";

/** Longest time that a read waits for a declaration: short enough for keys to stay confirmed if the next read fails. */
const WAIT_MS: Millis = 1_200;
/**
 * Fraction of the beacon interval by which the wait is shorter, since confirmations are older when others receive them.
 */
const BEACON_INTERVAL_FRACTION = 0.5;

/**
 * Returns how long a read waits for a declaration on the VM that reads for the others, in whole milliseconds.
 *
 * @param beaconIntervalMs time between two beacons to one VM
 */
export function readerWaitMs(beaconIntervalMs: Millis): Millis {
    return Math.round(WAIT_MS - BEACON_INTERVAL_FRACTION * beaconIntervalMs);
}
