import type { Millis, VmId } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

/** Where a beacon goes, and to whom where that is known. */
type BeaconTarget = { readonly address: string; readonly vm: VmId | undefined; };

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
