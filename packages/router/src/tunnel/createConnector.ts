import type { Socket } from "node:net";

import type { Clock, FailureDomain, Peer } from "@azureshunt/core";
import { headStartMs, initialLinks, isBlocked, isCutOff, stepLinks } from "@azureshunt/reach";
import type { LinkEvent, LinkState } from "@azureshunt/reach";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { OpenConnection } from "../dispatch/OpenConnection.js";
import type { OpenedConnection } from "../dispatch/OpenedConnection.js";
import { createTunnelOpener } from "./createTunnelOpener.js";
import { openOwnLink } from "./openOwnLink.js";
import { tunnelTiming } from "./tunnelTiming.js";

type ConnectorParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    readonly logger: Logger;
    readonly metrics: Metrics;
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

/**
 * Creates the connector.
 *
 * If a VM loses its links to endpoints that other VMs reach, all its callers would be refused, also those whose
 * connections stay with it. To prevent this, a peer opens the connection if the own link does not at once. Which of the
 * two has failed, link or endpoint, need not be known: a peer does not reach a dead endpoint either.
 */
export function createConnector(parts: ConnectorParts): Connector {
    const { clock, logger } = parts;
    const state = { links: initialLinks as LinkState, isCutOff: false, isProbing: false };
    const openTunnel = createTunnelOpener(parts);

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

    /** While cut off, one connection at a time is tried over an own link, which shows when the links are back. */
    const tryOwnLink = async (address: string, signal: AbortSignal): Promise<Socket> => {
        const isProbe = updateCutOff();
        if (isProbe && state.isProbing) {
            throw new Error("cut off");
        }
        state.isProbing = state.isProbing || isProbe;
        try {
            const socket = await openOwnLink(address, signal, parts.open);
            apply("opened", address);
            return socket;
        }
        finally {
            state.isProbing = state.isProbing && !isProbe;
        }
    };

    const openConnection: Connector["openConnection"] = address =>
        new Promise((resolve, reject) => {
            const controller = new AbortController();
            const { signal } = controller;
            const progress = { hasOwnFailed: false, arePeersAsked: false, havePeersFailed: false, isSettled: false };
            const settle = (settled: () => void): void => {
                progress.isSettled = true;
                clearTimeout(limit);
                clearTimeout(headStart);
                controller.abort();
                settled();
            };
            /** Uses a connection, or closes it if another one opened before. */
            const use = (opened: OpenedConnection): void => {
                if (progress.isSettled) {
                    opened.socket.destroy();
                    return;
                }
                if (opened.kind === "tunnel") {
                    apply("bypassed", address);
                }
                settle(() => resolve(opened));
            };
            const rejectIfBothFailed = (): void => {
                if (!progress.isSettled && progress.hasOwnFailed && progress.havePeersFailed) {
                    settle(() => reject(new Error("unreachable")));
                }
            };
            const askPeers = (): void => {
                if (progress.isSettled || progress.arePeersAsked) {
                    return;
                }
                progress.arePeersAsked = true;
                void openTunnel(address, signal).then(tunnel =>
                    tunnel.caseOf({
                        Left: () => {
                            progress.havePeersFailed = true;
                            rejectIfBothFailed();
                        },
                        Right: socket => use({ socket, kind: "tunnel" }),
                    })
                );
            };
            const limit = setTimeout(() => settle(() => reject(new Error("timed out"))), tunnelTiming.connectMs);
            const headStart = setTimeout(
                // Connections that have opened while this process was busy are handled before.
                () => setImmediate(askPeers),
                headStartMs(state.links, address, clock.now()),
            );
            tryOwnLink(address, signal).then(socket => use({ socket, kind: "new" }), () => {
                progress.hasOwnFailed = true;
                askPeers();
                rejectIfBothFailed();
            });
        });

    const confirmDead: Connector["confirmDead"] = async address => {
        const tunnel = await openTunnel(address, AbortSignal.timeout(tunnelTiming.connectMs));
        return tunnel.caseOf({
            Left: failure => failure === "endpoint-refused" || !updateCutOff(),
            Right: socket => {
                socket.destroy();
                return false;
            },
        });
    };

    return {
        openConnection,
        isBlocked: address => isBlocked(state.links, address, clock.now()),
        isCutOff: updateCutOff,
        recordOpened: address => apply("opened", address),
        confirmDead,
    };
}
