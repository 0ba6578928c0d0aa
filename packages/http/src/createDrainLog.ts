import type { Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { ConnectionCounts } from "./ConnectionCounts.js";

/** How a VM that stops tells what happens to its callers' connections. */
type DrainLog = {
    /** The callers' port is closed; with the connections that are open. */
    readonly portClosed: (open: ConnectionCounts, afterMs: Millis) => void;
    /** The drain ends; connections that are still open are cut off. */
    readonly ended: (cut: ConnectionCounts, afterMs: Millis) => void;
    /** A request is refused as it arrives too late. */
    readonly refused: () => void;
};

/** Creates the log lines and counters of the callers' connections at a stop. */
export function createDrainLog(metrics: Pick<Metrics, "count">, logger: Pick<Logger, "info" | "warn">): DrainLog {
    const state = { refused: 0 };
    const count = (name: string, help: string, counts: ConnectionCounts): void =>
        Object.entries(counts).forEach(([each, by]) => metrics.count(name, help, { state: each }, by));
    return {
        portClosed: (open, afterMs) => {
            const help = "Callers' connections that were open as their port was closed, by state.";
            count("azureshunt_port_closed_connections_total", help, open);
            logger.info({ open, refused: state.refused, afterMs: Math.round(afterMs) }, "Closed the callers' port.");
        },
        ended: (cut, afterMs) => {
            const help = "Callers' connections that were cut off at the end of a stop, by state.";
            count("azureshunt_cut_connections_total", help, cut);
            const isCut = Object.keys(cut).length > 0;
            logger[isCut ? "warn" : "info"](
                { cut, refused: state.refused, afterMs: Math.round(afterMs) },
                isCut
                    ? "Cut callers' connections off: still open at the end of the drain."
                    : "No caller's connection is left.",
            );
        },
        refused: () => {
            state.refused += 1;
            const help = "Requests that were refused as they arrived too late in a stop.";
            metrics.count("azureshunt_late_requests_total", help);
        },
    };
}
