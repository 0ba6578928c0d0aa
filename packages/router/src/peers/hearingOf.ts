import type { Millis } from "@azureshunt/core";

import type { Hearing } from "../allowance/Hearing.js";
import { beaconInterval } from "./beaconInterval.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

/** Says which other VMs have to be reckoned with, and which of them are out of hearing. */
export function hearingOf(members: Members, now: Millis): Hearing {
    const quiet = peerTiming.unheardBeacons * beaconInterval(members.known.size);
    const isSettling = now - members.startedAt < peerTiming.settleMs;
    const there = [...members.known.values()].filter(({ heard }) =>
        heard === undefined ? isSettling : now - heard.at < peerTiming.goneMs
    );
    return {
        peers: there.length,
        unheard: there.filter(({ heard }) => heard === undefined || now - heard.at > quiet).map(({ vm }) => vm),
        newsMs: beaconInterval(members.known.size),
        isPartial: !members.isListed,
    };
}
