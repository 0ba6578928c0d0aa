import type { Socket } from "node:net";

import type { Clock, FailureDomain, Peer, ServiceName, VmId } from "@azureshunt/core";
import { startTimeout, timeoutSignal } from "@azureshunt/lifecycle";
import { allEndpoints, serviceGroup } from "@azureshunt/reach";
import type { EndpointGroup, LinkTarget } from "@azureshunt/reach";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { OpenConnection } from "../dispatch/OpenConnection.js";
import type { OpenedConnection } from "../dispatch/OpenedConnection.js";
import { createLinkMonitor } from "./createLinkMonitor.js";
import { createTunnelOpener } from "./createTunnelOpener.js";
import { openOwnLink } from "./openOwnLink.js";
import { requestTunnel } from "./requestTunnel.js";
import type { TunnelAdmission } from "./TunnelAdmission.js";
import type { TunnelId } from "./TunnelId.js";
import { tunnelTiming } from "./tunnelTiming.js";

type ConnectorParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    /** `host:port` of this VM's listener for peers. */
    readonly address: string;
    /** Asks the carrier of a tunnel, at the address of its listener for peers, whether the endpoint has closed it. */
    readonly askTunnelEnd: (carrier: string, id: TunnelId) => Promise<boolean>;
    readonly random: () => number;
    readonly failureDomain: FailureDomain;
    /** Live peers. */
    readonly peers: () => readonly Peer[];
    /** Returns the registered endpoint at an address, `host:port`. */
    readonly targetAt: (address: string) => LinkTarget | undefined;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly open?: OpenConnection;
    /** Replaces sockets and timers, so that simulations run in virtual time. */
    readonly ports?: Partial<typeof systemPorts>;
};

/** Opens connections to endpoints, over own links or through peers. */
type Connector = {
    /** Opens a connection to the endpoint at an address; rejects if neither an own link nor a peer does in time. */
    readonly openConnection: (address: string) => Promise<OpenedConnection>;
    /** Whether the own link to the endpoint at an address seems not to work. */
    readonly isBlocked: (address: string) => boolean;
    /** Whether this VM seems to have lost its links to all endpoints of a service. */
    readonly isServiceCutOff: (service: ServiceName) => boolean;
    /**
     * Records that an own link has opened no connection to the endpoint at an address for another purpose, and asks peers
     * whether they reach it, which shows whose fault that is.
     */
    readonly checkLink: (address: string) => Promise<void>;
    /** Returns whether this VM opens a connection to the endpoint at an address for a peer. */
    readonly admitTunnel: (address: string) => TunnelAdmission;
    /** Whether this VM seems to have lost its links to all endpoints. */
    readonly isCutOff: () => boolean;
    /** Whether a connection to the endpoint at an address that fails says something of the endpoint. */
    readonly canJudge: (address: string) => boolean;
    /** Peers that opened connections for this VM lately, to endpoints like the one at an address. */
    readonly helpers: (address: string) => readonly Peer[];
    /** Records that an own link has opened a connection for another purpose. */
    readonly recordOpened: (address: string) => void;
    /** Records that an own link has opened no connection for another purpose. */
    readonly recordFailed: (address: string) => void;
    /** Records that an endpoint answers over an own link. */
    readonly recordAnswered: (address: string) => void;
    /**
     * Returns whether a peer finds that nothing listens at an address either; without a peer that can tell, whether this
     * VM may trust its own links.
     */
    readonly confirmDead: (address: string) => Promise<boolean>;
};

const systemPorts = {
    openOwnLink,
    requestTunnel,
    /** Calls a function after a delay; returns a function that cancels it. */
    schedule: startTimeout,
    /** Calls a function once the connections are handled that have opened while this process was busy. */
    defer: (run: () => void): void => void setImmediate(run),
} as const;

/**
 * Creates the connector.
 *
 * If a VM loses its links to endpoints that other VMs reach, all its callers would be refused, also those whose
 * connections stay with it. To prevent this, a peer opens the connection if the own link does not at once. Which of the
 * two has failed, link or endpoint, need not be known: a peer does not reach a dead endpoint either.
 */
export function createConnector(parts: ConnectorParts): Connector {
    const ports = { ...systemPorts, ...parts.ports };
    const links = createLinkMonitor(parts);
    const tunnels = createTunnelOpener({ ...parts, ...ports });
    /** Groups from which this VM is cut off, and to which it has a connection of its own underway. */
    const probing = new Set<EndpointGroup>();

    const isTargetCutOff = ({ service }: LinkTarget): boolean =>
        [allEndpoints, serviceGroup(service)].some(links.isCutOff);

    /** While cut off, one connection at a time is tried over an own link, which shows when the links are back. */
    const tryOwnLink = async (target: LinkTarget, signal: AbortSignal): Promise<Socket> => {
        const group = links.cutOffGroup(target);
        if (group !== undefined && probing.has(group)) {
            throw new Error("cut off");
        }
        if (group !== undefined) {
            probing.add(group);
        }
        try {
            const socket = await ports.openOwnLink(target.address, signal, parts.open);
            links.record("opened", target);
            return socket;
        }
        catch (err) {
            if (!signal.aborted) {
                links.record("failed", target);
            }
            throw err;
        }
        finally {
            if (group !== undefined) {
                probing.delete(group);
            }
        }
    };

    const openTo = (target: LinkTarget): Promise<OpenedConnection> =>
        new Promise((resolve, reject) => {
            const controller = new AbortController();
            const { signal } = controller;
            const progress = { hasOwnFailed: false, arePeersAsked: false, havePeersFailed: false, isSettled: false };
            const settle = (settled: () => void): void => {
                progress.isSettled = true;
                cancelLimit();
                cancelHeadStart();
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
                    links.record("bypassed", target);
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
                void tunnels.open(target, signal).then(tunnel =>
                    tunnel.caseOf({
                        Left: () => {
                            progress.havePeersFailed = true;
                            rejectIfBothFailed();
                        },
                        Right: opened => use({ ...opened, kind: "tunnel" }),
                    })
                );
            };
            const rejectAsTimedOut = (): void => {
                if (!progress.hasOwnFailed) {
                    links.record("failed", target);
                }
                settle(() => reject(new Error("timed out")));
            };
            const cancelLimit = ports.schedule(tunnelTiming.connectMs, rejectAsTimedOut);
            const cancelHeadStart = ports.schedule(
                links.headStartMs(target),
                () => ports.defer(askPeers),
            );
            tryOwnLink(target, signal).then(socket => use({ socket, kind: "new" }), () => {
                progress.hasOwnFailed = true;
                askPeers();
                rejectIfBothFailed();
            });
        });

    const probeOwnLink = (target: LinkTarget): void => {
        const controller = new AbortController();
        const cancelLimit = ports.schedule(tunnelTiming.connectMs, () => {
            links.record("failed", target);
            controller.abort();
        });
        void tryOwnLink(target, controller.signal)
            .then(socket => void socket.destroy(), () => undefined)
            .finally(cancelLimit);
    };
    /**
     * A VM whose own callers send little would go on telling peers that it is cut off long after its links are back. So
     * what peers ask for makes it probe a link now and then; they do not wait for it.
     */
    const admitTunnel = (target: LinkTarget): TunnelAdmission => {
        if (links.beginProbe(target)) {
            probeOwnLink(target);
        }
        return links.admitTunnel(target);
    };

    /** Opens a connection to an endpoint that has just left the registry, for which peers open none. */
    const openUnregistered = async (address: string): Promise<OpenedConnection> => {
        const socket = await ports.openOwnLink(address, timeoutSignal(tunnelTiming.connectMs), parts.open);
        return { socket, kind: "new" };
    };

    const checkLink: Connector["checkLink"] = async address => {
        const target = parts.targetAt(address);
        if (target === undefined) {
            return;
        }
        links.record("failed", target);
        const tunnel = await tunnels.open(target, timeoutSignal(tunnelTiming.connectMs));
        tunnel.ifRight(({ socket }) => {
            socket.destroy();
            links.record("bypassed", target);
        });
    };

    const confirmDead: Connector["confirmDead"] = async address => {
        const target = parts.targetAt(address);
        if (target === undefined) {
            return !links.isCutOff(allEndpoints);
        }
        const tunnel = await tunnels.open(target, timeoutSignal(tunnelTiming.connectMs));
        return tunnel.caseOf({
            Left: failure => failure === "endpoint-refused" || !isTargetCutOff(target),
            Right: ({ socket }) => {
                socket.destroy();
                return false;
            },
        });
    };

    /** Calls a function with the endpoint at an address; returns `otherwise` if none is registered there. */
    const withTarget = <Result>(address: string, otherwise: Result, run: (target: LinkTarget) => Result): Result => {
        const target = parts.targetAt(address);
        return target === undefined ? otherwise : run(target);
    };
    const recorderOf = (kind: "opened" | "failed" | "answered") => (address: string): void =>
        withTarget(address, undefined, target => links.record(kind, target));
    return {
        openConnection: address => {
            const target = parts.targetAt(address);
            return target === undefined ? openUnregistered(address) : openTo(target);
        },
        isBlocked: address => withTarget(address, false, links.isBlocked),
        isCutOff: () => links.isCutOff(allEndpoints),
        isServiceCutOff: service => links.isCutOff(serviceGroup(service)),
        checkLink,
        admitTunnel: address => withTarget<TunnelAdmission>(address, "unavailable", admitTunnel),
        canJudge: address => withTarget(address, false, links.canJudge),
        helpers: address => withTarget(address, [], ({ service }) => tunnels.helpers(service)),
        recordOpened: recorderOf("opened"),
        recordFailed: recorderOf("failed"),
        recordAnswered: recorderOf("answered"),
        confirmDead,
    };
}
