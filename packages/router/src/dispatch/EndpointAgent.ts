import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Kept connections to one endpoint where no other limit is given; more are closed after their answer. */
const KEPT_PER_ENDPOINT = 24;
/** Longest time that a connection is kept without a request, where the endpoint names no shorter one. */
const KEPT_MS = 20_000;

const destroyOnData = function(this: Socket): void {
    this.destroy();
};

type Kept = { readonly socket: Socket; readonly idleSince: number; };

/**
 * Connections to endpoints.
 *
 * Failure: an endpoint sends bytes after a whole answer, or an answer twice. They would be taken for the next request's
 * answer. Guard: a kept connection on which anything arrives without a request is destroyed.
 */
export class EndpointAgent extends Agent {
    private readonly idleSince = new WeakMap<Socket, number>();
    /**
     * Where each connection goes. Kept apart, since Node remembers a socket's address from its first reading on, and that
     * a connection was reset shows by its having none any more.
     */
    private readonly addresses = new WeakMap<Socket, string>();

    /** @param most connections without a request that are kept to the endpoint at an address, `host:port` */
    constructor(
        private readonly now: () => number,
        private readonly most: (address: string) => number = () => KEPT_PER_ENDPOINT,
    ) {
        super({ keepAlive: true, maxFreeSockets: KEPT_PER_ENDPOINT, scheduling: "lifo", timeout: KEPT_MS });
    }

    /** Notes where a connection goes. */
    noteAddress(socket: Socket, address: string): void {
        this.addresses.set(socket, address);
    }

    /** Keeps a connection after its answer; called by Node. */
    override keepSocketAlive(socket: Socket): boolean {
        this.maxFreeSockets = this.most(this.addresses.get(socket) ?? "");
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            this.idleSince.set(socket, this.now());
            socket.on("data", destroyOnData);
        }
        return isKept;
    }

    /** Takes a kept connection for a request; called by Node. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        socket.removeListener("data", destroyOnData);
        super.reuseSocket(socket, req);
    }

    /** Destroys kept connections to an endpoint that were idle for longer than given. */
    dropIdle(address: string, idleMs: number): void {
        const [host, port] = address.split(":");
        const name = this.getName({ host, port: Number(port) });
        const kept: readonly Kept[] = (this.freeSockets[name] ?? [])
            .map(socket => ({ socket, idleSince: this.idleSince.get(socket) ?? -Infinity }));
        kept.filter(({ idleSince }) => this.now() - idleSince > idleMs).forEach(({ socket }) => socket.destroy());
    }
}
