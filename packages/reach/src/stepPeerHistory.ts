import type { Millis, VmId } from "@azureshunt/core";

import type { PeerEvent } from "./PeerEvent.js";
import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";

/** Each of the VMs that were named is 100 bytes or so. */
const MAX_NAMED = 64;

const avoid = (history: PeerHistory, vms: readonly VmId[], now: Millis): PeerHistory["avoidedUntil"] =>
    new Map([
        ...[...history.avoidedUntil].filter(([, until]) => until > now),
        ...vms.map(vm => [vm, now + peerTiming.avoidMs] as const),
    ]);

/** Applies what was learned of peers. */
export function stepPeerHistory(history: PeerHistory, event: PeerEvent, now: Millis): PeerHistory {
    switch (event.kind) {
        case "failed":
            return { ...history, avoidedUntil: avoid(history, [event.peer.vm], now) };
        case "opened": {
            const { peer, others } = event;
            const judged = others.filter(({ outcome }) => outcome !== "pending");
            const late = judged.filter(({ outcome }) => outcome === "late").map(each => each.peer.vm);
            const outdone = judged
                .map(each => each.peer.failureDomain)
                .filter(domain => domain !== peer.failureDomain)
                .map(domain => [domain, now] as const);
            return {
                ...history,
                avoidedUntil: new Map([...avoid(history, late, now)].filter(([vm]) => vm !== peer.vm)),
                openedAt: new Map(
                    [...history.openedAt, [peer.vm, now] as const].filter(([, at]) => now - at < peerTiming.openedMs),
                ),
                outdoneAt: new Map(
                    [...history.outdoneAt, ...outdone].filter(([domain]) => domain !== peer.failureDomain),
                ),
            };
        }
        case "named": {
            const current = [...history.named].filter(([, { at }]) => now - at < peerTiming.namedMs);
            const named = event.peers.map(peer => [peer.vm, { peer, at: now }] as const);
            return { ...history, named: new Map([...new Map([...current, ...named])].slice(-MAX_NAMED)) };
        }
    }
}
