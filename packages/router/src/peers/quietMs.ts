import type { FailureDomain, Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { Members } from "./Members.js";

/** Beacons without which a failure domain counts as quiet; one or two may be lost. */
const LOST_BEACONS = 3;

/**
 * Says how long a failure domain has been out of hearing, beyond some lost beacons.
 *
 * Failure: the links between failure domains are cut. Connections to the other side hang, and engines that are told to
 * fetch from there wait some hundred milliseconds before they give up. It shows at once as beacons from all VMs there
 * that do not come.
 *
 * @returns 0 where a VM there is heard, or where none is known
 */
export function quietMs(members: Members, domain: FailureDomain, now: Millis): Millis {
    const heard = [...members.known.values()]
        .flatMap(member => member.heard?.failureDomain === domain ? [member.heard.at] : []);
    const usual = LOST_BEACONS * beaconInterval(members.known.size);
    return heard.length === 0 ? 0 : Math.max(0, now - Math.max(...heard) - usual);
}
