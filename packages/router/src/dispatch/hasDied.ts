import { connect } from "node:net";

import type { Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";
import { probeUntilClear } from "@azureshunt/request";
import type { ProbeResult, ProbeTiming } from "@azureshunt/request";

/** Time limits for probing whether a process is alive. */
type ProbeBounds = ProbeTiming & {
    /** For a connection to be accepted or refused. */
    readonly connectMs: Millis;
    /** How long an accepted connection must stay open. A dying process resets it within a few milliseconds. */
    readonly minOpenMs: Millis;
};

const BOUNDS: ProbeBounds = { connectMs: 300, minOpenMs: 20, againMs: 25, allMs: 900 };

const probe = (address: string, { connectMs, minOpenMs }: ProbeBounds): Promise<ProbeResult> => {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const state = { cancelTimeout: (): void => undefined };
        const settle = (result: ProbeResult): void => {
            state.cancelTimeout();
            socket.destroy();
            resolve(result);
        };
        state.cancelTimeout = startTimeout(connectMs, () => settle("unclear"));
        socket.once("connect", () => {
            state.cancelTimeout();
            state.cancelTimeout = startTimeout(minOpenMs, () => settle("alive"));
        });
        socket.once("close", () => settle("unclear"));
        socket.once("error", (err: NodeJS.ErrnoException) => settle(err.code === "ECONNREFUSED" ? "dead" : "unclear"));
        socket.resume();
    });
};

/**
 * Returns whether nothing listens at an address any more, after a connection to it broke.
 *
 * If the network cuts connections, requests that merely lost theirs would count as the cause of a crash. To prevent
 * this, the process counts as dead only if a new connection is refused.
 *
 * @param address `host:port`
 */
export function hasDied(address: string, bounds: ProbeBounds = BOUNDS): Promise<boolean> {
    return probeUntilClear(() => probe(address, bounds), bounds);
}
