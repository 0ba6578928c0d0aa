import type { Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";

/** Beacons without which a failure domain counts as quiet; one or two may be lost. */
const LOST_BEACONS = 3;

/**
 * Says how long a failure domain has been out of hearing, beyond some lost beacons.
 *
 * Failure: the links between failure domains are cut. Connections to the other side hang, and engines that are told to
 * fetch from there wait some hundred milliseconds before they give up. It shows at once as beacons from all VMs there
 * that do not come.
 *
 * @param heardAt when any VM there was last heard; undefined where none is known
 * @param members how many other VMs there are
 * @returns 0 where a VM there is heard, or where none is known
 */
export function quietMs(heardAt: Millis | undefined, members: number, now: Millis): Millis {
    const usual = LOST_BEACONS * beaconInterval(members);
    return heardAt === undefined ? 0 : Math.max(0, now - heardAt - usual);
}
