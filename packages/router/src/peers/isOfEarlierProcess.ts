import type { Millis } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import { peerTiming } from "./peerTiming.js";
import type { ReceivedBeacon } from "./ReceivedBeacon.js";

/**
 * Returns whether a beacon was sent by an earlier process of its VM than the last one.
 *
 * Datagrams of before a restart may arrive after the first ones of the new process. Taken for current, the old
 * process's state would replace that of the new one, and its final beacon would remove a VM that runs. To prevent this,
 * a beacon of a process that started earlier than the last received one is ignored.
 *
 * Limitation: a delayed beacon of a process that lived for a shorter time than the delay seems to be of a later one. So
 * that a running process is not ignored for good then, it is accepted once the other one has not been received for
 * `peerTiming.aliveMs`. A process of unknown age is always accepted.
 */
export function isOfEarlierProcess(beacon: Beacon, last: ReceivedBeacon | undefined, now: Millis): boolean {
    if (last === undefined || last.incarnation === beacon.incarnation || beacon.upMs === Infinity) {
        return false;
    }
    // A final beacon is never needed: without it, a VM that stops becomes silent.
    const isLastCurrent = beacon.isLeaving || now - last.receivedAt <= peerTiming.aliveMs;
    return isLastCurrent && now - beacon.upMs < last.startedBefore;
}
