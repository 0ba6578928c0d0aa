import type { Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

/** Returns whether a VM is silent: more beacons are missing than a few lost datagrams explain. */
export function isSilent(members: Members, { lastSeenAt }: { readonly lastSeenAt: Millis; }, now: Millis): boolean {
    return now - lastSeenAt > peerTiming.missedBeacons * beaconInterval(members.known.size);
}
