import type { Server } from "node:http";

import type { Metrics } from "@azureshunt/telemetry";

import { startListener } from "./serve/startListener.js";

const OK = 200;
const NOT_FOUND = 404;

/** Starts an HTTP listener that serves `GET /metrics` in Prometheus' text format. */
export function startMetricsListener(address: string, metrics: Metrics): Promise<Server> {
    return startListener(address, (req, res) => {
        const isKnown = req.url === "/metrics";
        res.writeHead(isKnown ? OK : NOT_FOUND, { "content-type": "text/plain; version=0.0.4" });
        res.end(isKnown ? metrics.render() : undefined);
    });
}
