import { randomUUID } from "node:crypto";

import type { Clock, FailureDomain, Millis, Peer, ServiceName, VmId } from "@azureshunt/core";
import { choosePeer, helpersOf, initialPeerHistory, stepPeerHistory } from "@azureshunt/reach";
import type { LinkTarget, PeerEvent, PeerHistory, TunnelFailure } from "@azureshunt/reach";
import type { Metrics } from "@azureshunt/telemetry";
import type { Either } from "purify-ts";

import type { requestTunnel } from "./requestTunnel.js";
import { searchPeers } from "./searchPeers.js";
import type { Tunnel } from "./Tunnel.js";
import { TunnelId } from "./TunnelId.js";

type TunnelOpenerParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    readonly metrics: Metrics;
    /** `host:port` of this VM's listener for peers. */
    readonly address: string;
    /** Asks the carrier of a tunnel, at the address of its listener for peers, whether the endpoint has closed it. */
    readonly askTunnelEnd: (carrier: string, id: TunnelId) => Promise<boolean>;
    readonly requestTunnel: typeof requestTunnel;
    /** Calls a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
};

type TunnelOpener = {
    /** Opens a tunnel to an endpoint. */
    readonly open: (target: LinkTarget, signal: AbortSignal) => Promise<Either<TunnelFailure, Tunnel>>;
    /** Peers that opened tunnels to endpoints of a service for this VM lately. */
    readonly helpers: (service: ServiceName) => readonly Peer[];
};

/** Creates an opener that asks peers for tunnels, and learns from their answers which ones can help. */
export function createTunnelOpener(parts: TunnelOpenerParts): TunnelOpener {
    const { clock, random, failureDomain } = parts;
    const state = { history: initialPeerHistory as PeerHistory };
    const apply = (event: PeerEvent): void => {
        state.history = stepPeerHistory(state.history, event, clock.now());
    };

    const request = async (
        peer: Peer,
        { address, service }: LinkTarget,
        signal: AbortSignal,
    ): Promise<Either<TunnelFailure, Tunnel>> => {
        const id = TunnelId.parse(randomUUID());
        const { tunnel, named, helpers } = await parts.requestTunnel({
            peer: peer.address,
            target: address,
            failureDomain,
            user: { id, address: parts.address },
            signal,
        });
        const outcome = tunnel.caseOf({ Left: failure => failure, Right: () => "opened" as const });
        parts.metrics.count("azureshunt_tunnel_requests_total", "Requests to peers for a tunnel, by how they ended.", {
            domain: peer.failureDomain === failureDomain ? "own" : "other",
            outcome: signal.aborted ? "aborted" : outcome,
        });
        if (outcome === "peer" && !signal.aborted) {
            apply({ kind: "failed", service, peer });
        }
        if (named.length > 0) {
            apply({ kind: "named", peers: named });
        }
        if (helpers.length > 0) {
            apply({ kind: "recommended", service, peers: helpers.filter(({ vm }) => vm !== parts.vm) });
        }
        const state = { confirmed: undefined as Promise<boolean> | undefined };
        const confirmEnd = (): Promise<boolean> => state.confirmed ??= parts.askTunnelEnd(peer.address, id);
        return tunnel.map(socket => ({ id, socket, carrier: peer.vm, confirmEnd }));
    };

    const open: TunnelOpener["open"] = (target, signal) => {
        const { service } = target;
        return searchPeers({
            choose: attempts =>
                choosePeer(
                    { peers: parts.peers(), failureDomain, history: state.history, service, attempts },
                    clock.now(),
                    random,
                ),
            request: (peer, requestSignal) => request(peer, target, requestSignal),
            onOpened: (peer, others) => apply({ kind: "opened", service, peer, others }),
            schedule: parts.schedule,
            signal,
        });
    };
    return {
        open,
        helpers: service => helpersOf(state.history, service, clock.now()),
    };
}
