import type { IncomingMessage, Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";

import type { TunnelEnd } from "@azureshunt/completion";
import type { FailureDomain, Millis, Peer } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";

import type { OpenConnection } from "../dispatch/OpenConnection.js";
import type { createTunnelEnds } from "./createTunnelEnds.js";
import { decodeTunnelUser } from "./decodeTunnelUser.js";
import { drainTunnels } from "./drainTunnels.js";
import { encodeNamingHeaders } from "./encodeNamingHeaders.js";
import { forwardTunnel } from "./forwardTunnel.js";
import { pickPeers } from "./pickPeers.js";
import type { TunnelAdmission } from "./TunnelAdmission.js";
import { tunnelHeaders } from "./tunnelHeaders.js";
import type { TunnelId } from "./TunnelId.js";
import { tunnelStatus } from "./tunnelStatus.js";
import { tunnelTiming } from "./tunnelTiming.js";
import type { TunnelUser } from "./TunnelUser.js";

type TunnelParts = {
    /** Whether an address, `host:port`, is that of a registered endpoint. Tunnels lead nowhere else. */
    readonly isEndpoint: (address: string) => boolean;
    /** Returns whether this VM opens a tunnel to the endpoint at an address: not while it is cut off itself, or stops. */
    readonly admit: (address: string) => TunnelAdmission;
    /** Whether a connection to the endpoint at an address that fails says something of the endpoint. */
    readonly canJudge: (address: string) => boolean;
    /** Called when a connection to an endpoint has opened. */
    readonly onOpened: (address: string) => void;
    /** Called when a connection to an endpoint has been refused, or not answered. */
    readonly onFailed: (address: string) => void;
    readonly failureDomain: FailureDomain;
    /** Live VMs of this VM's failure domain, of which some are named to VMs of other domains. */
    readonly domainPeers: () => readonly Peer[];
    /** VMs that open connections for this one, to endpoints like the one at an address. */
    readonly helpers: (address: string) => readonly Peer[];
    readonly random: () => number;
    readonly open?: OpenConnection;
    /** Records of how tunnels ended, which VMs that use them may ask for. */
    readonly ends: Pick<ReturnType<typeof createTunnelEnds>, "record" | "isAwaitingQuestion">;
    /** Called when a tunnel has ended and both its connections are closed. */
    readonly onClosed: (end: TunnelEnd) => void;
    /** Asks the VM at an address to close tunnels as soon as they carry no request. */
    readonly notifyDrain: (address: string, tunnels: readonly TunnelId[]) => void;
    /** Time limits that differ from `tunnelTiming`. */
    readonly timing?: Partial<Record<"peerConnectMs" | "silentMs" | "idleMs" | "drainNoticeMs", Millis>>;
};

/** The tunnels of a listener. */
type Tunnels = {
    readonly size: () => number;
    /** Whether a tunnel to the endpoint at an address is open. */
    readonly leadsTo: (address: string) => boolean;
    /** Bytes that Node has buffered for the tunnels' ends. */
    readonly heldBytes: () => number;
    /** Asks for tunnels to be closed that carry no request; resolves when none is left, or after the time given. */
    readonly drain: (withinMs: Millis) => Promise<void>;
    /** Resets the tunnels that are left, at both ends. */
    readonly closeAll: () => void;
};

type ServedTunnel = {
    readonly address: string;
    readonly near: Socket;
    readonly far: Socket;
    readonly user: TunnelUser | undefined;
    readonly giveUp: ReturnType<typeof forwardTunnel>["giveUp"];
};

/** Those that are being opened count too: each takes two of the process's descriptors. */
const MAX_TUNNELS = 600;
/** VMs that are named in one answer. */
const MAX_NAMED = 4;

/**
 * Opens connections to endpoints for peers that cannot reach them, on `CONNECT` requests to their listener, and forwards
 * bytes both ways. A tunnel carries connections of one VM, whose requests, retries and charges stay its own, so a
 * request crosses one tunnel at most.
 */
export function serveTunnels(server: Server, parts: TunnelParts): Tunnels {
    const { peerConnectMs, silentMs, idleMs, drainNoticeMs } = { ...tunnelTiming, ...parts.timing };
    const tunnels = new Set<ServedTunnel>();
    /** Connections to endpoints that are being opened. */
    const opening = new Set<Socket>();
    /** By address of an endpoint: until when it counts as silent. */
    const silentUntil = new Map<string, Millis>();
    const isSilent = (address: string): boolean => (silentUntil.get(address) ?? -Infinity) > performance.now();
    const recordSilent = (address: string): void => {
        const now = performance.now();
        [...silentUntil].filter(([, until]) => until <= now).forEach(([each]) => silentUntil.delete(each));
        silentUntil.set(address, now + silentMs);
    };

    /**
     * Returns the headers that name further VMs: to a VM of another failure domain, which knows the relays here only, so
     * that these do not carry the traffic of a whole domain alone; and to one that this VM cannot help, those that help.
     */
    const namingHeaders = (req: IncomingMessage, status: number): string => {
        const pick = (peers: readonly Peer[]): readonly Peer[] => pickPeers(peers, MAX_NAMED, parts.random);
        const isNear = req.headers[tunnelHeaders.failureDomain] === parts.failureDomain;
        return encodeNamingHeaders({
            peers: isNear ? [] : pick(parts.domainPeers()),
            helpers: status === tunnelStatus.unavailable ? pick(parts.helpers(req.url ?? "")) : [],
        });
    };
    const refuse = (req: IncomingMessage, near: Socket, status: number): void => {
        const headers = `${namingHeaders(req, status)}Content-Length: 0\r\nConnection: close\r\n`;
        near.write(`HTTP/1.1 ${status} Refused\r\n${headers}\r\n`);
        near.destroySoon();
    };

    const forward = (address: string, user: TunnelUser | undefined, near: Socket, far: Socket): void => {
        const { giveUp } = forwardTunnel({
            near,
            far,
            idleMs,
            onEnd: end => user === undefined ? undefined : parts.ends.record(user.id, end),
            onClosed: end => {
                tunnels.delete(tunnel);
                parts.onClosed(end);
            },
        });
        const tunnel: ServedTunnel = { address, near, far, user, giveUp };
        tunnels.add(tunnel);
    };

    const onConnect = (req: IncomingMessage, near: Socket, head: Buffer): void => {
        const address = req.url ?? "";
        const onEarlyError = (): void => void near.destroy();
        near.on("error", onEarlyError);
        if (!parts.isEndpoint(address)) {
            refuse(req, near, tunnelStatus.notAllowed);
            return;
        }
        if (tunnels.size + opening.size >= MAX_TUNNELS || head.length > 0) {
            refuse(req, near, tunnelStatus.unavailable);
            return;
        }
        const admission = parts.admit(address);
        if (admission !== "try") {
            refuse(req, near, tunnelStatus[admission]);
            return;
        }
        const failedStatus = (status: number): number => parts.canJudge(address) ? status : tunnelStatus.unavailable;
        if (isSilent(address)) {
            refuse(req, near, failedStatus(tunnelStatus.silent));
            return;
        }
        const [host, port] = address.split(":");
        const far = (parts.open ?? connect)({ host, port: Number(port) });
        opening.add(far);
        far.once("close", () => opening.delete(far));
        const fail = (status: number): void => {
            cancelTimeout();
            far.destroy();
            parts.onFailed(address);
            refuse(req, near, failedStatus(status));
        };
        const cancelTimeout = startTimeout(peerConnectMs, () => {
            recordSilent(address);
            fail(tunnelStatus.silent);
        });
        const onFarError = (): void => fail(tunnelStatus.refused);
        const onNearClose = (): void => {
            cancelTimeout();
            far.destroy();
        };
        near.once("close", onNearClose);
        far.once("error", onFarError);
        far.once("connect", () => {
            opening.delete(far);
            cancelTimeout();
            far.removeListener("error", onFarError);
            near.removeListener("close", onNearClose);
            near.removeListener("error", onEarlyError);
            silentUntil.delete(address);
            parts.onOpened(address);
            forward(address, decodeTunnelUser(req.headers), near, far);
            const headers = namingHeaders(req, tunnelStatus.opened);
            near.write(`HTTP/1.1 ${tunnelStatus.opened} Connection established\r\n${headers}\r\n`);
        });
    };
    server.on("connect", (req, near, head) => onConnect(req, near as Socket, head));

    const drain: Tunnels["drain"] = withinMs =>
        drainTunnels({
            users: () => [...tunnels].map(({ user }) => user),
            isOpening: () => opening.size > 0,
            isAwaitingQuestion: parts.ends.isAwaitingQuestion,
            notify: parts.notifyDrain,
            noticeMs: drainNoticeMs,
            withinMs,
        });
    return {
        size: () => tunnels.size,
        leadsTo: address => [...tunnels].some(tunnel => tunnel.address === address),
        heldBytes: () =>
            [...tunnels].flatMap(({ near, far }) => [near, far]).reduce(
                (sum, { writableLength, readableLength }) => sum + writableLength + readableLength,
                0,
            ),
        drain,
        closeAll: () => tunnels.forEach(({ giveUp }) => giveUp("stopped")),
    };
}
