import type { Millis, Peer, VmId } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";
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

const currentHelpers = ({ helpers }: ServiceHistory, now: Millis): ServiceHistory["helpers"] =>
    new Map([...helpers].filter(([, { at }]) => now - at < peerTiming.helperMs));

const afterFailure = (history: ServiceHistory, { vm }: Peer, now: Millis): ServiceHistory => ({
    ...history,
    avoidedUntil: avoid(history, [vm], now),
    helpers: new Map([...history.helpers].filter(([each]) => each !== vm)),
    failedInRow: history.failedInRow + 1,
});

const afterOpening = (
    history: ServiceHistory,
    peer: Peer,
    others: readonly PeerAttempt[],
    now: Millis,
): ServiceHistory => {
    const late = others.filter(({ outcome }) => outcome === "late").map(each => each.peer.vm);
    const outdone = others
        .filter(({ outcome }) => outcome !== "pending")
        .map(each => [each.peer.failureDomain, now] as const);
    return {
        avoidedUntil: new Map([...avoid(history, late, now)].filter(([vm]) => vm !== peer.vm)),
        outdoneAt: new Map([...history.outdoneAt, ...outdone].filter(([domain]) => domain !== peer.failureDomain)),
        helpers: new Map(currentHelpers(history, now)).set(peer.vm, { peer, at: now, isOwn: true }),
        failedInRow: 0,
    };
};

const afterRecommendation = (history: ServiceHistory, peers: readonly Peer[], now: Millis): ServiceHistory => {
    const current = currentHelpers(history, now);
    const added = peers
        .filter(({ vm }) => !current.has(vm))
        .map(peer => [peer.vm, { peer, at: now, isOwn: false }] as const);
    return { ...history, helpers: new Map([...current, ...added]) };
};

const stepService = (
    history: ServiceHistory,
    event: Exclude<PeerEvent, { readonly kind: "named"; }>,
    now: Millis,
): ServiceHistory => {
    switch (event.kind) {
        case "failed":
            return afterFailure(history, event.peer, now);
        case "opened":
            return afterOpening(history, event.peer, event.others, now);
        case "recommended":
            return afterRecommendation(history, event.peers, now);
    }
};

/** Applies what was learned of peers. */
export function stepPeerHistory(history: PeerHistory, event: PeerEvent, now: Millis): PeerHistory {
    if (event.kind === "named") {
        const current = [...history.named].filter(([, { at }]) => now - at < peerTiming.namedMs);
        const named = event.peers.map(peer => [peer.vm, { peer, at: now }] as const);
        return { ...history, named: new Map([...new Map([...current, ...named])].slice(-MAX_NAMED)) };
    }
    const next = stepService(serviceHistoryOf(history, event.service), event, now);
    return { ...history, services: new Map(history.services).set(event.service, next) };
}
