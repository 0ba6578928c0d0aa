import type { Millis } from "@azureshunt/core";

import { peerTiming } from "./peerTiming.js";

/**
 * Returns the time between two beacons to one VM.
 *
 * @param members number of known peers
 */
export function beaconInterval(members: number): Millis {
    return Math.min(peerTiming.maxBeaconMs, Math.max(peerTiming.beaconMs, peerTiming.perMemberMs * members));
}
