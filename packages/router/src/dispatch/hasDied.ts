import { connect } from "node:net";

import type { Millis } from "@azureshunt/core";
import { probeUntilClear } from "@azureshunt/request";
import type { Probe, ProbePace } from "@azureshunt/request";

/** Bounds of asking a process whether it lives. */
type ProbeBounds = ProbePace & {
    /** For one connection to be taken or refused. */
    readonly connectMs: Millis;
    /** How long a connection that was taken must stand: a dying process resets it within some milliseconds. */
    readonly standsMs: Millis;
};

const BOUNDS: ProbeBounds = { connectMs: 300, standsMs: 20, againMs: 25, allMs: 900 };

const probe = (address: string, { connectMs, standsMs }: ProbeBounds): Promise<Probe> => {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const settle = (found: Probe): void => {
            socket.destroy();
            resolve(found);
        };
        socket.setTimeout(connectMs, () => settle(socket.connecting ? "unclear" : "alive"));
        socket.once("connect", () => socket.setTimeout(standsMs));
        socket.once("close", () => settle("unclear"));
        socket.once("error", (err: NodeJS.ErrnoException) => settle(err.code === "ECONNREFUSED" ? "dead" : "unclear"));
        socket.resume();
    });
};

/**
 * Finds out whether nothing listens at an address, after a connection to it broke.
 *
 * Failure: something on the way cuts connections, and requests that merely lost theirs count as the cause of a crash.
 * Guard: only where a connection is refused has the process ended.
 *
 * @param address `host:port`
 */
export function hasDied(address: string, bounds: ProbeBounds = BOUNDS): Promise<boolean> {
    return probeUntilClear(() => probe(address, bounds), bounds);
}
