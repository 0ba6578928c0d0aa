import type { Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { BeaconTarget } from "./BeaconTarget.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

/**
 * Lists who gets a beacon now: members that were heard lately each time, silent ones and seeds more seldom.
 *
 * @param round number of this round of beacons
 */
export function beaconTargets(members: Members, round: number, now: Millis): readonly BeaconTarget[] {
    const interval = beaconInterval(members.known.size);
    const isSeldom = round % Math.max(1, Math.round(peerTiming.silentBeaconMs / interval)) === 0;
    const known = [...members.known.values()];
    const due = known.filter(({ heard }) =>
        isSeldom || (heard !== undefined && now - heard.at < peerTiming.unheardBeacons * interval)
    );
    const addresses = new Set(known.map(({ address }) => address));
    const seeds = isSeldom ? members.seeds.filter(seed => !addresses.has(seed)) : [];
    return [
        ...due.map(({ address, vm }) => ({ address, vm })),
        ...seeds.map(address => ({ address, vm: undefined })),
    ];
}
