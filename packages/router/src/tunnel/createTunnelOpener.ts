import type { Socket } from "node:net";

import type { Clock, FailureDomain, Millis, Peer, ServiceName } from "@azureshunt/core";
import { choosePeer, initialPeerHistory, stepPeerHistory } from "@azureshunt/reach";
import type { LinkTarget, PeerEvent, PeerHistory, TunnelFailure } from "@azureshunt/reach";
import type { Metrics } from "@azureshunt/telemetry";
import type { Either } from "purify-ts";

import type { requestTunnel } from "./requestTunnel.js";
import { searchPeers } from "./searchPeers.js";

type TunnelOpenerParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    readonly metrics: Metrics;
    readonly requestTunnel: typeof requestTunnel;
    /** Calls a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
};

/** Opens a tunnel to an endpoint. */
type OpenTunnel = (target: LinkTarget, signal: AbortSignal) => Promise<Either<TunnelFailure, Socket>>;

/** Creates a function that asks peers for a tunnel, and learns from their answers which ones can help. */
export function createTunnelOpener(parts: TunnelOpenerParts): OpenTunnel {
    const { clock, random, failureDomain } = parts;
    /** By service, as a VM may be cut off from one and not from others. */
    const histories = new Map<ServiceName, PeerHistory>();
    const historyOf = (service: ServiceName): PeerHistory => histories.get(service) ?? initialPeerHistory;
    const apply = (service: ServiceName, event: PeerEvent): void =>
        void histories.set(service, stepPeerHistory(historyOf(service), event, clock.now()));

    const request = async (
        peer: Peer,
        { address, service }: LinkTarget,
        signal: AbortSignal,
    ): Promise<Either<TunnelFailure, Socket>> => {
        const { tunnel, named } = await parts.requestTunnel({
            peer: peer.address,
            target: address,
            failureDomain,
            signal,
        });
        const outcome = tunnel.caseOf({ Left: failure => failure, Right: () => "opened" as const });
        parts.metrics.count("azureshunt_tunnel_requests_total", "Requests to peers for a tunnel, by how they ended.", {
            domain: peer.failureDomain === failureDomain ? "own" : "other",
            outcome: signal.aborted ? "aborted" : outcome,
        });
        if (outcome === "peer" && !signal.aborted) {
            apply(service, { kind: "failed", peer });
        }
        if (named.length > 0) {
            apply(service, {
                kind: "named",
                peers: named.map(each => ({ ...each, failureDomain: peer.failureDomain })),
            });
        }
        return tunnel;
    };

    return (target, signal) =>
        searchPeers({
            choose: attempts =>
                choosePeer(
                    { peers: parts.peers(), failureDomain, history: historyOf(target.service), attempts },
                    clock.now(),
                    random,
                ),
            request: (peer, requestSignal) => request(peer, target, requestSignal),
            onOpened: (peer, others) => apply(target.service, { kind: "opened", peer, others }),
            schedule: parts.schedule,
            signal,
        });
}
