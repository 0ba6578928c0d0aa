import type { Socket } from "node:net";

import type { Clock, FailureDomain, Millis, Peer, VmId } from "@azureshunt/core";
import { orderPeers } from "@azureshunt/reach";
import type { Metrics } from "@azureshunt/telemetry";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { requestTunnel } from "./requestTunnel.js";
import type { TunnelFailure } from "./TunnelFailure.js";
import { tunnelTiming } from "./tunnelTiming.js";

type TunnelOpenerParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    readonly metrics: Metrics;
};

/** Opens a tunnel to the endpoint at an address, `host:port`. */
type OpenTunnel = (target: string, signal: AbortSignal) => Promise<Either<TunnelFailure, Socket>>;

/** Peers that are asked for one connection: more answers would come too late. */
const MAX_PEERS = 4;

/**
 * Creates a function that asks one peer after the other for a tunnel. Peers that could not help for a reason of their own
 * are not asked again for a while.
 */
export function createTunnelOpener(parts: TunnelOpenerParts): OpenTunnel {
    const { clock } = parts;
    const avoidedUntil = new Map<VmId, Millis>();

    const askPeers = async (
        target: string,
        signal: AbortSignal,
        [peer, ...others]: readonly Peer[],
    ): Promise<Either<TunnelFailure, Socket>> => {
        if (peer === undefined || signal.aborted) {
            return Left("peer");
        }
        const tunnel = await requestTunnel({ peer: peer.address, target, signal });
        parts.metrics.count("azureshunt_tunnel_requests_total", "Requests to peers for a tunnel, by how they ended.", {
            domain: peer.failureDomain === parts.failureDomain ? "own" : "other",
            outcome: tunnel.caseOf({ Left: failure => signal.aborted ? "aborted" : failure, Right: () => "opened" }),
        });
        return tunnel.caseOf<Either<TunnelFailure, Socket> | Promise<Either<TunnelFailure, Socket>>>({
            Right: socket => Right(socket),
            Left: async failure => {
                if (failure === "peer" && !signal.aborted) {
                    avoidedUntil.set(peer.vm, clock.now() + tunnelTiming.avoidMs);
                }
                const next = await askPeers(target, signal, others);
                // What one peer saw of the endpoint says more than that another one could not be asked.
                return next.mapLeft(nextFailure => nextFailure === "peer" ? failure : nextFailure);
            },
        });
    };

    return (target, signal) => {
        const query = { peers: parts.peers(), failureDomain: parts.failureDomain, avoidedUntil };
        return askPeers(target, signal, orderPeers(query, clock.now(), parts.random).slice(0, MAX_PEERS));
    };
}
