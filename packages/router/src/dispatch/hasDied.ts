import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import type { Millis } from "@azureshunt/core";

/** Bounds of asking a process whether it lives, in milliseconds. */
type ProbeBounds = {
    /** For one connection to be taken or refused. */
    readonly connectMs: Millis;
    /** How long a connection that was taken must stand: a dying process resets it within some milliseconds. */
    readonly standsMs: Millis;
    /** Between two askings. */
    readonly againMs: Millis;
    /** For all of them. */
    readonly allMs: Millis;
};

const BOUNDS: ProbeBounds = { connectMs: 300, standsMs: 20, againMs: 25, allMs: 900 };

/** What one connection shows; `unclear` where the process may be about to go, or cannot be reached. */
type Probe = "alive" | "dead" | "unclear";

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
 * Failure: the process is just dying and its port still takes connections; it would pass for alive. Guard: a connection that
 * is reset or not taken says nothing yet, and the address is asked again.
 *
 * @param address `host:port`
 */
export async function hasDied(address: string, bounds: ProbeBounds = BOUNDS): Promise<boolean> {
    const until = performance.now() + bounds.allMs;
    const ask = async (): Promise<boolean> => {
        const found = await probe(address, bounds);
        if (found !== "unclear" || performance.now() >= until) {
            return found === "dead";
        }
        await sleep(bounds.againMs);
        return ask();
    };
    return ask();
}
