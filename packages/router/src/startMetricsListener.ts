import type { Server } from "node:http";
import type { Socket } from "node:net";

import { createRequestGate, judgeTimeouts } from "@azureshunt/http";
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
/** Connections that are kept open; a scraper needs one. */
const MAX_CONNECTIONS = 16;

/** Closes the oldest connections beyond the bound, so that a scraper gets in beside those that nobody reads. */
const boundConnections = (server: Server): void => {
    const open = new Set<Socket>();
    server.on("connection", socket => {
        open.add(socket);
        socket.once("close", () => open.delete(socket));
        [...open].slice(0, -MAX_CONNECTIONS).forEach(each => each.destroy());
    });
};

/**
 * Starts an HTTP listener that serves `GET /metrics` in Prometheus' text format. Requests are served without it, so nothing
 * waits for its address.
 *
 * A request takes some bytes and its answer tens of thousands, which are kept until they are read. To prevent that they use
 * up the heap, requests on a connection are answered one by one, and connections have a bound.
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
            const gate = createRequestGate();
            gate.attach(server);
            judgeTimeouts(server, { reading: gate.reading, refuse: (_err, socket) => void socket.destroy() });
            boundConnections(server);
            state.server = server;
            if (state.isStopped) {
                stop();
            }
        },
        (err: unknown) => logger.warn({ address, err }, "Metrics are not served: the address could not be bound."),
    );
    return { stop };
}
