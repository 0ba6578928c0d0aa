import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

import type { Clock } from "../common/Clock.js";
import { forwardBetween } from "./forwardBetween.js";
import type { LinkSwitches } from "./LinkSwitches.js";
import type { Target } from "./Target.js";

/** Where a route listens and forwards to, and its switches. */
type ForwarderOptions = {
    readonly host: string;
    readonly port: number;
    readonly target: Target;
    readonly clock: Clock;
    readonly switches: () => LinkSwitches;
};

/** One listening route. */
type Forwarder = {
    /** `host:port` on which it listens. */
    readonly address: string;
    /** Silences the connections that are open now, permanently; new ones work. */
    readonly silence: () => void;
    readonly destroyAll: () => void;
};

/** Starts to listen on a route and forwards its TCP connections to the target. */
export function openForwarder({ host, port, target, clock, switches }: ForwarderOptions): Promise<Forwarder> {
    const connections = new Set<ReturnType<typeof forwardBetween>>();
    const server = createServer({ allowHalfOpen: true, noDelay: true }, callerSocket => {
        callerSocket.on("error", () => callerSocket.destroy());
        if (switches().cut) {
            callerSocket.destroy();
            return;
        }
        const targetSocket = connect({ ...target, allowHalfOpen: true, noDelay: true });
        const connection = forwardBetween(
            callerSocket,
            targetSocket,
            clock,
            () => switches().delayMs,
            () => !switches().blackhole,
        );
        connections.add(connection);
        callerSocket.on("close", () => connections.delete(connection));
    });
    const forwarderOn = (listening: number): Forwarder => ({
        address: `${host}:${listening}`,
        silence: () => connections.forEach(connection => connection.silence()),
        destroyAll: () => connections.forEach(connection => connection.destroy()),
    });
    return new Promise((resolve, reject) => {
        server.on("error", reject);
        server.listen(port, host, () => resolve(forwarderOn((server.address() as AddressInfo).port)));
    });
}
