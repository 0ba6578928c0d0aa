import type { Server } from "node:http";

import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import { startListener } from "./serve/startListener.js";

type MetricsListenerParts = {
    /** `host:port`. */
    readonly address: string;
    readonly metrics: Metrics;
    /** Binds an address once it is free. */
    readonly claim: (address: string, bind: () => Promise<Server>) => Promise<Server>;
    readonly logger: Logger;
    /** Called with errors that reach nobody else; see `startListener`. */
    readonly onFault: Parameters<typeof startListener>[2];
};

const OK = 200;
const NOT_FOUND = 404;

/**
 * Starts an HTTP listener that serves `GET /metrics` in Prometheus' text format. Requests are served without it, so nothing
 * waits for its address.
 */
export function startMetricsListener(parts: MetricsListenerParts): { readonly stop: () => void; } {
    const { address, metrics, claim, logger } = parts;
    const state = { server: undefined as Server | undefined, isStopped: false };
    const listen = (): Promise<Server> =>
        startListener(address, (req, res) => {
            const isKnown = req.url === "/metrics";
            res.writeHead(isKnown ? OK : NOT_FOUND, { "content-type": "text/plain; version=0.0.4" });
            res.end(isKnown ? metrics.render() : undefined);
        }, parts.onFault);
    const stop = (): void => {
        state.isStopped = true;
        state.server?.close();
        state.server?.closeAllConnections();
    };
    claim(address, listen).then(
        server => {
            state.server = server;
            if (state.isStopped) {
                stop();
            }
        },
        (err: unknown) => logger.warn({ address, err }, "Metrics are not served: the address could not be bound."),
    );
    return { stop };
}
