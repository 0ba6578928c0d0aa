import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import { connect } from "node:net";
import type { Socket, TcpNetConnectOpts } from "node:net";

import type { OpenConnection } from "./OpenConnection.js";

/** Default limit of idle connections to one endpoint. Connections beyond it are closed after their answer. */
const MAX_IDLE_PER_ENDPOINT = 24;
/** Maximum idle time of a connection, unless the endpoint announces a shorter one. */
const MAX_IDLE_MS = 20_000;

const destroyOnData = function(this: Socket): void {
    this.destroy();
};

type IdleConnection = { readonly socket: Socket; readonly idleSince: number; };

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

    /**
     * @param now monotonic time in milliseconds
     * @param maxIdle maximum number of idle connections to the endpoint at an address, `host:port`
     * @param open opens a connection
     */
    constructor(
        private readonly now: () => number,
        private readonly maxIdle: (address: string) => number = () => MAX_IDLE_PER_ENDPOINT,
        private readonly open: OpenConnection = connect,
    ) {
        super({ keepAlive: true, maxFreeSockets: MAX_IDLE_PER_ENDPOINT, scheduling: "lifo", timeout: MAX_IDLE_MS });
    }

    /** Opens a connection for a request; called by Node. */
    override createConnection(options: TcpNetConnectOpts): Socket {
        return this.open(options);
    }

    recordAddress(socket: Socket, address: string): void {
        this.addresses.set(socket, address);
    }

    /** Decides whether to keep a connection after its answer; called by Node. */
    override keepSocketAlive(socket: Socket): boolean {
        this.maxFreeSockets = this.maxIdle(this.addresses.get(socket) ?? "");
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            this.idleSince.set(socket, this.now());
            socket.on("data", destroyOnData);
        }
        return isKept;
    }

    /** Reuses an idle connection for a request; called by Node. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        socket.removeListener("data", destroyOnData);
        super.reuseSocket(socket, req);
    }

    /** Destroys the connections to an endpoint that have been idle for longer than `idleMs`. */
    destroyIdle(address: string, idleMs: number): void {
        const [host, port] = address.split(":");
        const name = this.getName({ host, port: Number(port) });
        const connections: readonly IdleConnection[] = (this.freeSockets[name] ?? [])
            .map(socket => ({ socket, idleSince: this.idleSince.get(socket) ?? -Infinity }));
        connections.filter(({ idleSince }) => this.now() - idleSince > idleMs).forEach(({ socket }) =>
            socket.destroy()
        );
    }
}
