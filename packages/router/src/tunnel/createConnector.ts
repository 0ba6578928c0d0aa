import { connect } from "node:net";
import type { Socket } from "node:net";

import type { Clock, FailureDomain, Millis, VmId } from "@azureshunt/core";
import { headStartMs, initialLinks, isBlocked, isCutOff, orderPeers, stepLinks } from "@azureshunt/reach";
import type { LinkEvent, LinkState, Peer } from "@azureshunt/reach";
import type { Logger } from "pino";

import type { OpenConnection } from "../dispatch/OpenConnection.js";
import type { OpenedConnection } from "../dispatch/OpenedConnection.js";
import { requestTunnel } from "./requestTunnel.js";
import type { TunnelFailure } from "./TunnelFailure.js";
import { tunnelTiming } from "./tunnelTiming.js";

type ConnectorParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    readonly logger: Logger;
    readonly open?: OpenConnection;
};

/** Opens connections to endpoints, over own links or through peers. */
type Connector = {
    /** Opens a connection to the endpoint at an address; rejects if neither an own link nor a peer does in time. */
    readonly openConnection: (address: string) => Promise<OpenedConnection>;
    /** Whether the own link to the endpoint at an address seems not to work. */
    readonly isBlocked: (address: string) => boolean;
    /** Whether this VM seems to have lost its links to all endpoints. */
    readonly isCutOff: () => boolean;
    /** Records that an own link has opened a connection for another purpose. */
    readonly recordOpened: (address: string) => void;
    /**
     * Returns whether a peer finds that nothing listens at an address either; without a peer that can tell, whether this
     * VM may trust its own links.
     */
    readonly confirmDead: (address: string) => Promise<boolean>;
};

/** Idle time after which the operating system probes a connection, as Node's own agent has it. */
const KEEP_ALIVE_DELAY_MS: Millis = 1_000;
/** Peers that are asked for one connection: more answers would come too late. */
const MAX_PEERS = 4;

/**
 * Creates the connector.
 *
 * If a VM loses its links to endpoints that other VMs reach, all its callers would be refused, also those whose
 * connections stay with it. To prevent this, a peer opens the connection if the own link does not at once. Which of the
 * two has failed, link or endpoint, need not be known: a peer does not reach a dead endpoint either.
 */
export function createConnector(parts: ConnectorParts): Connector {
    const { clock, logger } = parts;
    const state = { links: initialLinks as LinkState, isCutOff: false, isOwnPending: false };
    const avoidedUntil = new Map<VmId, Millis>();

    const updateCutOff = (): boolean => {
        const cutOff = isCutOff(state.links, clock.now());
        if (cutOff !== state.isCutOff) {
            state.isCutOff = cutOff;
            logger.warn(
                { cutOff, bypassed: state.links.bypassedAt.size },
                cutOff
                    ? "Own links reach no endpoints: connections are opened through peers."
                    : "Own links reach endpoints again.",
            );
        }
        return cutOff;
    };
    const apply = (kind: LinkEvent["kind"], address: string): void => {
        state.links = stepLinks(state.links, { kind, address }, clock.now());
        updateCutOff();
    };

    const openOwn = (address: string, signal: AbortSignal): Promise<Socket> => {
        const [host, port] = address.split(":");
        const keepAlive = { keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS };
        const socket = (parts.open ?? connect)({ host, port: Number(port), noDelay: true, ...keepAlive });
        return new Promise((resolve, reject) => {
            const onAbort = (): void => void socket.destroy(new Error("aborted"));
            const settle = (settled: () => void): void => {
                signal.removeEventListener("abort", onAbort);
                socket.removeListener("error", onError);
                settled();
            };
            const onError = (err: Error): void => settle(() => reject(err));
            signal.addEventListener("abort", onAbort, { once: true });
            socket.once("error", onError);
            socket.once("connect", () => settle(() => resolve(socket)));
        });
    };

    const askPeers = async (
        target: string,
        signal: AbortSignal,
        peers: readonly Peer[],
    ): Promise<Socket | TunnelFailure> => {
        const [peer, ...others] = peers;
        if (peer === undefined || signal.aborted) {
            return "peer";
        }
        const tunnel = await requestTunnel({ peer: peer.address, target, signal });
        return tunnel.caseOf<Socket | TunnelFailure | Promise<Socket | TunnelFailure>>({
            Right: socket => socket,
            Left: async failure => {
                if (failure === "peer" && !signal.aborted) {
                    avoidedUntil.set(peer.vm, clock.now() + tunnelTiming.avoidMs);
                }
                const next = await askPeers(target, signal, others);
                return next === "peer" ? failure : next;
            },
        });
    };
    const openTunnel = (target: string, signal: AbortSignal): Promise<Socket | TunnelFailure> => {
        const query = { peers: parts.peers(), failureDomain: parts.failureDomain, avoidedUntil };
        return askPeers(target, signal, orderPeers(query, clock.now(), parts.random).slice(0, MAX_PEERS));
    };

    const openConnection: Connector["openConnection"] = address =>
        new Promise((resolve, reject) => {
            const controller = new AbortController();
            const { signal } = controller;
            const pending = { own: true, peers: true, isPeersAsked: false, isSettled: false };
            const settle = (settled: () => void): void => {
                pending.isSettled = true;
                clearTimeout(limit);
                clearTimeout(headStart);
                controller.abort();
                settled();
            };
            const failIfNoneLeft = (): void => {
                if (!pending.isSettled && !pending.own && !pending.peers) {
                    settle(() => reject(new Error("unreachable")));
                }
            };
            const startTunnel = (): void => {
                if (pending.isSettled || pending.isPeersAsked) {
                    return;
                }
                clearTimeout(headStart);
                pending.isPeersAsked = true;
                void openTunnel(address, signal).then(opened => {
                    if (typeof opened === "string") {
                        pending.peers = false;
                        failIfNoneLeft();
                        return;
                    }
                    if (pending.isSettled) {
                        opened.destroy();
                        return;
                    }
                    apply("bypassed", address);
                    settle(() => resolve({ socket: opened, kind: "tunnel" }));
                });
            };
            const startOwn = (): void => {
                const isProbe = updateCutOff();
                state.isOwnPending = state.isOwnPending || isProbe;
                void openOwn(address, signal).then(
                    socket => {
                        apply("opened", address);
                        if (pending.isSettled) {
                            socket.destroy();
                            return;
                        }
                        settle(() => resolve({ socket, kind: "new" }));
                    },
                    () => {
                        pending.own = false;
                        startTunnel();
                        failIfNoneLeft();
                    },
                ).finally(() => {
                    state.isOwnPending = state.isOwnPending && !isProbe;
                });
            };
            const limit = setTimeout(
                () => settle(() => reject(new Error("timed out"))),
                tunnelTiming.connectMs,
            );
            const headStart = setTimeout(
                // Connections that have opened while this process was busy are handled before.
                () => setImmediate(startTunnel),
                headStartMs(state.links, address, clock.now()),
            );
            // While cut off, one own connection at a time shows when the links are back.
            if (updateCutOff() && state.isOwnPending) {
                pending.own = false;
                startTunnel();
                return;
            }
            startOwn();
        });

    const confirmDead: Connector["confirmDead"] = async address => {
        const opened = await openTunnel(address, AbortSignal.timeout(tunnelTiming.connectMs));
        if (typeof opened === "string") {
            return opened === "endpoint-refused" || !updateCutOff();
        }
        opened.destroy();
        return false;
    };

    return {
        openConnection,
        isBlocked: address => isBlocked(state.links, address, clock.now()),
        isCutOff: updateCutOff,
        recordOpened: address => apply("opened", address),
        confirmDead,
    };
}
