import type { Millis, VmId } from "@azureshunt/core";

import type { PeerEvent } from "./PeerEvent.js";
import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

type ServiceHistory = ReturnType<typeof serviceHistoryOf>;

/** Each of the VMs that were named is 100 bytes or so. */
const MAX_NAMED = 64;

const avoid = (
    { avoidedUntil }: ServiceHistory,
    vms: readonly VmId[],
    now: Millis,
): ServiceHistory["avoidedUntil"] =>
    new Map([
        ...[...avoidedUntil].filter(([, until]) => until > now),
        ...vms.map(vm => [vm, now + peerTiming.avoidMs] as const),
    ]);

const afterFailure = (
    history: ServiceHistory,
    { peer }: Extract<PeerEvent, { readonly kind: "failed"; }>,
    now: Millis,
): ServiceHistory => ({
    ...history,
    avoidedUntil: avoid(history, [peer.vm], now),
    failedInRow: history.failedInRow + 1,
});

const afterOpening = (
    history: ServiceHistory,
    { peer, others }: Extract<PeerEvent, { readonly kind: "opened"; }>,
    now: Millis,
): ServiceHistory => {
    const late = others.filter(({ outcome }) => outcome === "late").map(each => each.peer.vm);
    const outdone = others
        .filter(({ outcome }) => outcome !== "pending")
        .map(each => [each.peer.failureDomain, now] as const);
    return {
        avoidedUntil: new Map([...avoid(history, late, now)].filter(([vm]) => vm !== peer.vm)),
        outdoneAt: new Map([...history.outdoneAt, ...outdone].filter(([domain]) => domain !== peer.failureDomain)),
        failedInRow: 0,
    };
};

const currentHelpers = ({ helpers }: PeerHistory, now: Millis): PeerHistory["helpers"] =>
    new Map([...helpers].filter(([, { at }]) => now - at < peerTiming.helperMs));

/** Applies what was learned of peers. */
export function stepPeerHistory(history: PeerHistory, event: PeerEvent, now: Millis): PeerHistory {
    switch (event.kind) {
        case "failed": {
            const next = afterFailure(serviceHistoryOf(history, event.service), event, now);
            return {
                ...history,
                services: new Map(history.services).set(event.service, next),
                helpers: new Map([...history.helpers].filter(([vm]) => vm !== event.peer.vm)),
            };
        }
        case "opened": {
            const next = afterOpening(serviceHistoryOf(history, event.service), event, now);
            return {
                ...history,
                services: new Map(history.services).set(event.service, next),
                helpers: new Map(currentHelpers(history, now)).set(event.peer.vm, {
                    peer: event.peer,
                    at: now,
                    isOwn: true,
                }),
            };
        }
        case "recommended": {
            const current = currentHelpers(history, now);
            const added = event.peers
                .filter(({ vm }) => !current.has(vm))
                .map(peer => [peer.vm, { peer, at: now, isOwn: false }] as const);
            return { ...history, helpers: new Map([...current, ...added.slice(0, MAX_NAMED)]) };
        }
        case "named": {
            const current = [...history.named].filter(([, { at }]) => now - at < peerTiming.namedMs);
            const named = event.peers.map(peer => [peer.vm, { peer, at: now }] as const);
            return { ...history, named: new Map([...new Map([...current, ...named])].slice(-MAX_NAMED)) };
        }
    }
}
