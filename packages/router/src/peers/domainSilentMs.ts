import type { Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";

/** Beacon intervals without a beacon that do not yet make a failure domain silent: one or two beacons may be lost. */
const TOLERATED_BEACONS = 3;

/**
 * Returns how long a failure domain has been silent, beyond the time that a few lost beacons explain.
 *
 * If the links between failure domains are cut, connections to the other side hang, and engines that fetch cached
 * prompt parts from there wait some hundred milliseconds before they give up. Symptom: at once, beacons from all VMs
 * there are missing. Placement adds a cost to the endpoints of a silent domain.
 *
 * @param lastSeenAt when any VM of the domain was last seen; `undefined` if none was
 * @param members number of known peers
 * @returns 0 if a VM there sends beacons, or if none is known
 */
export function domainSilentMs(lastSeenAt: Millis | undefined, members: number, now: Millis): Millis {
    const toleratedMs = TOLERATED_BEACONS * beaconInterval(members);
    return lastSeenAt === undefined ? 0 : Math.max(0, now - lastSeenAt - toleratedMs);
}
