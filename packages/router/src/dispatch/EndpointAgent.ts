import { Agent } from "node:http";
import type { ClientRequest, ClientRequestArgs } from "node:http";
import { connect } from "node:net";
import type { Socket, TcpNetConnectOpts } from "node:net";
import type { Duplex } from "node:stream";

import type { Millis, VmId } from "@azureshunt/core";
import { afterPendingReads, startTimeout } from "@azureshunt/lifecycle";

import type { Tunnel } from "../tunnel/Tunnel.js";
import type { TunnelId } from "../tunnel/TunnelId.js";
import type { ConnectionKind } from "./ConnectionKind.js";
import { createIdleLimits } from "./createIdleLimits.js";
import type { OpenConnection } from "./OpenConnection.js";
import type { OpenedConnection } from "./OpenedConnection.js";
import { PROVEN_MAX_IDLE_MS } from "./PROVEN_MAX_IDLE_MS.js";

/** Default limit of idle connections to one endpoint. Connections beyond it are closed after their answer. */
const MAX_IDLE_PER_ENDPOINT = 24;
/**
 * Maximum idle time of a connection over an own link that seems not to work: one that was used later still works.
 */
const BLOCKED_MAX_IDLE_MS = 250;
/** Maximum idle time of a connection, unless the endpoint announces a shorter one. */
const MAX_IDLE_MS = 20_000;
/** How long an endpoint is remembered that has sent bytes which no request asked for. */
const UNASKED_KEPT_MS = 60_000;

type AgentParts = {
    /** Maximum number of idle connections to the endpoint at an address, `host:port`. */
    readonly maxIdle?: (address: string) => number;
    /** Opens connections; `connect` of `node:net` if omitted. */
    readonly open?: OpenConnection;
    /** Opens connections in place of `open`, over own links or through peers, within a time limit of its own. */
    readonly openConnection?: (address: string) => Promise<OpenedConnection>;
    /** Whether the own link to the endpoint at an address seems not to work. */
    readonly isBlocked?: (address: string) => boolean;
    /** Called when an endpoint answers on a connection over an own link. */
    readonly onAnswer?: (address: string) => void;
};

type AgentNameOptions = NonNullable<Parameters<Agent["getName"]>[0]>;
type OnConnection = (err: Error | null, stream: Duplex) => void;

/**
 * HTTP agent for connections to endpoints.
 *
 * If an endpoint sends bytes after a complete answer, or sends an answer twice, they would be taken for the next
 * request's answer. To prevent this, an idle connection on which any data arrives is destroyed.
 */
export class EndpointAgent extends Agent {
    private readonly idleSince = new WeakMap<Socket, number>();
    /**
     * Address of each connection, `host:port`. Recorded here because Node caches a socket's remote address when it is
     * first read, and `openCall` recognises a reset by the address being missing.
     */
    private readonly addresses = new WeakMap<Socket, string>();
    /** By connection that a peer opened: its tunnel. */
    private readonly tunnels = new WeakMap<Socket, Tunnel>();
    /** Tunnels in use that are not kept after their answer. */
    private readonly closing = new WeakSet<Socket>();
    /** By address of an endpoint: when it last sent bytes that no request asked for. */
    private readonly unaskedAt = new Map<string, number>();
    private readonly idleLimits = createIdleLimits();
    /** By address of an endpoint: an idle connection that is not reused, and shows whether the limit still holds. */
    private readonly watched = new Map<string, Socket>();
    private readonly onIdleData: (this: Socket) => void;

    /** @param now monotonic time in milliseconds */
    constructor(private readonly now: () => number, private readonly parts: AgentParts = {}) {
        super({ keepAlive: true, maxFreeSockets: MAX_IDLE_PER_ENDPOINT, scheduling: "lifo", timeout: MAX_IDLE_MS });
        const recordUnasked = (socket: Socket): void => this.recordUnasked(this.addresses.get(socket) ?? "");
        this.onIdleData = function(this: Socket): void {
            recordUnasked(this);
            this.destroy();
        };
    }

    /**
     * Returns the name under which Node keeps the connections to an endpoint: its address. Node's own name also holds
     * options that calls to endpoints never set, and Node asks for the name several times per call.
     */
    override getName({ host, port }: AgentNameOptions): string {
        return `${host}:${port}`;
    }

    /** Whether opening a connection has a time limit of its own. */
    get limitsOpening(): boolean {
        return this.parts.openConnection !== undefined;
    }

    /** Opens a connection for a request; called by Node. Returns it at once, or passes it on once it is open. */
    override createConnection(options: ClientRequestArgs, onConnection?: OnConnection): Duplex | undefined {
        const { open = connect, openConnection } = this.parts;
        if (openConnection === undefined) {
            return open(options as TcpNetConnectOpts);
        }
        openConnection(`${options.host}:${options.port}`).then(opened => {
            if (opened.kind === "tunnel") {
                this.tunnels.set(opened.socket, opened);
            }
            onConnection?.(null, opened.socket);
        }, (err: Error) => onConnection?.(err, undefined as never));
        return undefined;
    }

    /** Returns how the open connection came about that a request uses. */
    connectionKindOf(socket: Socket): ConnectionKind {
        return this.idleSince.has(socket) ? "kept" : this.tunnels.has(socket) ? "tunnel" : "new";
    }

    /** Returns whether a connection has just been opened, or had just been used before the request that uses it. */
    isProven(socket: Socket): boolean {
        return !this.idleSince.has(socket) || this.idleMsOf(socket) <= PROVEN_MAX_IDLE_MS;
    }

    /** Returns the peer that opened a connection; `undefined` on an own link. */
    carrierOf(socket: Socket): VmId | undefined {
        return this.tunnels.get(socket)?.carrier;
    }

    /** Returns the tunnel that a connection is; `undefined` on an own link. */
    tunnelOf(socket: Socket): Tunnel | undefined {
        return this.tunnels.get(socket);
    }

    /** Closes the tunnels with these ids as soon as they carry no request: idle ones at once, others after their answer. */
    closeTunnels(ids: ReadonlySet<TunnelId>): void {
        const socketsIn = (sockets: NodeJS.ReadOnlyDict<Socket[]>): readonly Socket[] =>
            Object.values(sockets).flatMap(each => each ?? []).filter(socket => {
                const tunnel = this.tunnels.get(socket);
                return tunnel !== undefined && ids.has(tunnel.id);
            });
        socketsIn(this.sockets).forEach(socket => this.closing.add(socket));
        socketsIn(this.freeSockets).forEach(socket => socket.destroy());
    }

    recordAddress(socket: Socket, address: string): void {
        this.addresses.set(socket, address);
    }

    /** Records that an endpoint answers on a connection. */
    recordAnswer(socket: Socket, address: string): void {
        if (!this.tunnels.has(socket)) {
            this.parts.onAnswer?.(address);
        }
    }

    /** Records that an endpoint has sent bytes that no request asked for, such as a second answer. */
    recordUnasked(address: string): void {
        const now = this.now();
        [...this.unaskedAt].filter(([, at]) => now - at > UNASKED_KEPT_MS).forEach(([each]) =>
            this.unaskedAt.delete(each)
        );
        this.unaskedAt.set(address, now);
    }

    /** Returns whether an endpoint has lately sent bytes that no request asked for. */
    hasSentUnasked(address: string): boolean {
        return this.now() - (this.unaskedAt.get(address) ?? -Infinity) <= UNASKED_KEPT_MS;
    }

    /** Decides whether to keep a connection after its answer; called by Node. */
    override keepSocketAlive(socket: Socket): boolean {
        if (this.closing.has(socket)) {
            return false;
        }
        this.maxFreeSockets = this.parts.maxIdle?.(this.addresses.get(socket) ?? "") ?? MAX_IDLE_PER_ENDPOINT;
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            if (!this.idleSince.has(socket)) {
                // Before Node's own listener, after which the connection is not listed as idle any more.
                socket.prependListener("close", () => this.recordClosedIdle(socket));
            }
            this.idleSince.set(socket, this.now());
            socket.on("data", this.onIdleData);
        }
        return isKept;
    }

    /** Reuses an idle connection for a request; called by Node. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        socket.removeListener("data", this.onIdleData);
        super.reuseSocket(socket, req);
    }

    override destroy(): void {
        this.watched.forEach(socket => socket.destroy());
        super.destroy();
    }

    /**
     * Closes the connections to an endpoint that have been idle for longer than `idleMs`, or for so long that the endpoint
     * may be about to close them, and those over an own link that seems not to work unless they were used just before.
     *
     * @param isRepeatable whether a call that is lost with its connection may be sent again
     */
    closeIdle(address: string, idleMs: Millis, isRepeatable: boolean): void {
        const idle = this.freeSockets[address];
        if (idle === undefined) {
            return;
        }
        const reuseMs = Math.min(idleMs, this.idleLimits.maxReuseMs(address, isRepeatable));
        const ownLinkReuseMs = this.parts.isBlocked?.(address) === true
            ? Math.min(reuseMs, BLOCKED_MAX_IDLE_MS)
            : reuseMs;
        const maxIdleMsOf = (socket: Socket): number => this.tunnels.has(socket) ? reuseMs : ownLinkReuseMs;
        // Closing a connection changes the list, so those to close are selected first.
        idle.filter(socket => this.idleMsOf(socket) > maxIdleMsOf(socket))
            .forEach(socket => this.closeOrWatch(socket, address));
    }

    /** Closes an idle connection at once, or later if it may show until then that the endpoint's limit does not hold. */
    private closeOrWatch(socket: Socket, address: string): void {
        const outlastMs = this.idleLimits.outlastMs(address);
        if (outlastMs === undefined || this.watched.has(address) || this.tunnels.has(socket)) {
            socket.destroy();
            return;
        }
        this.watched.set(address, socket);
        // No request gets it from now on.
        const idle = this.freeSockets[address];
        idle?.splice(idle.indexOf(socket), 1);
        const cancel = startTimeout(Math.max(0, outlastMs - this.idleMsOf(socket)), () => {
            // A close that has been read is reported only after this.
            if (!socket.readableEnded && socket.errored === null) {
                this.idleLimits.recordOutlasted(address);
            }
            socket.destroy();
        });
        socket.once("close", () => {
            cancel();
            this.watched.delete(address);
        });
    }

    private idleMsOf(socket: Socket): Millis {
        return this.now() - (this.idleSince.get(socket) ?? -Infinity);
    }

    /** Records the idle time of a connection that has just closed, if the endpoint closed it. */
    private recordClosedIdle(socket: Socket): void {
        const address = this.addresses.get(socket) ?? "";
        const isIdle = this.watched.get(address) === socket || this.freeSockets[address]?.includes(socket) === true;
        const isClosedByEndpoint = socket.readableEnded || socket.errored !== null;
        if (!isIdle || !isClosedByEndpoint || this.tunnels.has(socket)) {
            return;
        }
        this.idleLimits.recordClosed(address, this.idleMsOf(socket));
        // One of many connections was closed for another reason if others have been idle for much longer.
        afterPendingReads(() => {
            const outlastMs = this.idleLimits.outlastMs(address) ?? Infinity;
            if (this.freeSockets[address]?.some(each => this.idleMsOf(each) >= outlastMs) === true) {
                this.idleLimits.recordOutlasted(address);
            }
        });
    }
}
