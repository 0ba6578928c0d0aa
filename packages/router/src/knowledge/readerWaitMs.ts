import type { Millis } from "@azureshunt/core";

import type { DeclaredState } from "./DeclaredState.js";
import { readTiming } from "./readTiming.js";

/** Longest time that a read waits for a declaration: short enough for keys to stay confirmed if the next read fails. */
const WAIT_MS: Millis = 1_200;
/**
 * Fraction of the beacon interval by which the wait is shorter, since confirmations are older when others receive them.
 */
const BEACON_INTERVAL_FRACTION = 0.5;
/** Time for the answer, and for the beacon with it, to arrive before the others read for themselves. */
const ANSWER_MS: Millis = 100;

type WaitInputs = {
    readonly declaredState: DeclaredState;
    /** When this VM sent its last answered read; `-Infinity` until then. */
    readonly requestedAt: Millis;
    /** Time between two beacons to one VM. */
    readonly beaconIntervalMs: Millis;
    /** Whether VMs of other failure domains rely on the read. */
    readonly isForDomains: boolean;
    /** Time in which a change must be in force. */
    readonly configurationMs: Millis;
};

/**
 * Returns how long a read waits for a declaration on the VM that reads for the others, in whole milliseconds.
 *
 * A VM that takes over from another reader has an old confirmation, its own or another's. If its first read waited for
 * long, the others' confirmations would get too old meanwhile, and all of them would read. So it waits no longer than
 * until the others are about to read.
 */
export function readerWaitMs(
    { declaredState, requestedAt, beaconIntervalMs, isForDomains, configurationMs }: WaitInputs,
    now: Millis,
): Millis {
    const { maxWaitMs, domainReadAgeMs } = readTiming(configurationMs);
    const usualMs = Math.round(
        Math.min(WAIT_MS - BEACON_INTERVAL_FRACTION * beaconIntervalMs, isForDomains ? maxWaitMs : Infinity),
    );
    const { confirmedAt } = declaredState;
    // A read that confirmed nothing does not make the next one shorter, or an unreadable record would be read in a loop.
    return confirmedAt < requestedAt
        ? usualMs
        : Math.max(0, Math.min(usualMs, Math.round(domainReadAgeMs - ANSWER_MS - (now - confirmedAt))));
}
