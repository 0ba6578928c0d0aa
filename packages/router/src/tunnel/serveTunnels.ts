import type { IncomingMessage, Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";

import type { FailureDomain, Millis, Peer } from "@azureshunt/core";

import type { OpenConnection } from "../dispatch/OpenConnection.js";
import { wasReset } from "../dispatch/wasReset.js";
import { encodeNamingHeaders } from "./encodeNamingHeaders.js";
import { pickPeers } from "./pickPeers.js";
import type { TunnelAdmission } from "./TunnelAdmission.js";
import { tunnelHeaders } from "./tunnelHeaders.js";
import { tunnelStatus } from "./tunnelStatus.js";
import { tunnelTiming } from "./tunnelTiming.js";

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
    /** Time limits that differ from `tunnelTiming`. */
    readonly timing?: Partial<Record<"peerConnectMs" | "silentMs", Millis>>;
};

/** The tunnels of a listener. */
type Tunnels = {
    readonly size: () => number;
    /** Whether a tunnel to the endpoint at an address is open. */
    readonly leadsTo: (address: string) => boolean;
    /** Bytes that Node has buffered for the tunnels' ends. */
    readonly heldBytes: () => number;
    /** Closes each tunnel once it carries nothing; resolves when none is left, or after the time given. */
    readonly drain: (withinMs: Millis) => Promise<void>;
    readonly closeAll: () => void;
};

type Tunnel = { readonly address: string; readonly near: Socket; readonly far: Socket; lastDataAt: Millis; };

/** Each tunnel takes two of the process's descriptors. */
const MAX_TUNNELS = 600;
/** VMs that are named in one answer. */
const MAX_NAMED = 4;
const POLL_MS: Millis = 50;

/**
 * Opens connections to endpoints for peers that cannot reach them, on `CONNECT` requests to their listener, and forwards
 * bytes both ways. A tunnel carries connections of one VM, whose requests, retries and charges stay its own, so a
 * request crosses one tunnel at most.
 *
 * A reset at one end is passed on as a reset: the VM tells by it that an answer is incomplete, and the endpoint that a
 * call was abandoned, whose bytes must not arrive later.
 */
export function serveTunnels(server: Server, parts: TunnelParts): Tunnels {
    const { peerConnectMs, silentMs } = { ...tunnelTiming, ...parts.timing };
    const tunnels = new Set<Tunnel>();
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

    const forward = (address: string, near: Socket, far: Socket): void => {
        const tunnel: Tunnel = { address, near, far, lastDataAt: performance.now() };
        tunnels.add(tunnel);
        [[near, far] as const, [far, near] as const].forEach(([from, to]) => {
            from.setNoDelay(true);
            from.setTimeout(tunnelTiming.idleMs, () => from.resetAndDestroy());
            from.on("data", () => {
                tunnel.lastDataAt = performance.now();
            });
            from.prependOnceListener("end", () => {
                if (wasReset(from)) {
                    to.resetAndDestroy();
                }
            });
            from.on("error", () => to.resetAndDestroy());
            from.on("close", () => {
                tunnels.delete(tunnel);
                to.destroySoon();
            });
            from.pipe(to);
        });
    };

    const onConnect = (req: IncomingMessage, near: Socket, head: Buffer): void => {
        const address = req.url ?? "";
        const onEarlyError = (): void => void near.destroy();
        near.on("error", onEarlyError);
        if (!parts.isEndpoint(address)) {
            refuse(req, near, tunnelStatus.notAllowed);
            return;
        }
        if (tunnels.size >= MAX_TUNNELS || head.length > 0) {
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
        const fail = (status: number): void => {
            clearTimeout(timer);
            far.destroy();
            parts.onFailed(address);
            refuse(req, near, failedStatus(status));
        };
        const timer = setTimeout(() => {
            recordSilent(address);
            fail(tunnelStatus.silent);
        }, peerConnectMs);
        const onFarError = (): void => fail(tunnelStatus.refused);
        const onNearClose = (): void => {
            clearTimeout(timer);
            far.destroy();
        };
        near.once("close", onNearClose);
        far.once("error", onFarError);
        far.once("connect", () => {
            clearTimeout(timer);
            far.removeListener("error", onFarError);
            near.removeListener("close", onNearClose);
            near.removeListener("error", onEarlyError);
            silentUntil.delete(address);
            parts.onOpened(address);
            forward(address, near, far);
            const headers = namingHeaders(req, tunnelStatus.opened);
            near.write(`HTTP/1.1 ${tunnelStatus.opened} Connection established\r\n${headers}\r\n`);
        });
    };
    server.on("connect", (req, near, head) => onConnect(req, near as Socket, head));

    const closeIdle = (): void =>
        tunnels.forEach(({ near, far, lastDataAt }) => {
            if (performance.now() - lastDataAt > tunnelTiming.drainIdleMs) {
                near.destroySoon();
                far.destroySoon();
            }
        });
    const drain: Tunnels["drain"] = withinMs =>
        new Promise(resolve => {
            const startedAt = performance.now();
            const poll = (): void => {
                closeIdle();
                if (tunnels.size === 0 || performance.now() - startedAt > withinMs) {
                    resolve();
                    return;
                }
                setTimeout(poll, POLL_MS);
            };
            poll();
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
        closeAll: () =>
            tunnels.forEach(({ near, far }) => {
                near.resetAndDestroy();
                far.resetAndDestroy();
            }),
    };
}
