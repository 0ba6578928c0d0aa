import type { Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

/** Returns whether a VM is silent: not seen for longer than `peerTiming.missedBeacons` beacon intervals. */
export function isSilent(members: Members, { lastSeenAt }: { readonly lastSeenAt: Millis; }, now: Millis): boolean {
    return now - lastSeenAt > peerTiming.missedBeacons * beaconInterval(members.known.size);
}
