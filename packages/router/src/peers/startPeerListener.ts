import type { Server } from "node:http";

import type { Metrics } from "@azureshunt/telemetry";

import { startListener } from "../serve/startListener.js";

/** What other VMs and on-call engineers can ask for. */
type PeerListenerParts = {
    readonly address: string;
    /** The configuration as the store gave it; undefined while there is none. */
    readonly configuration: () => Buffer | undefined;
    readonly metrics: Metrics;
};

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;

/** Serves `GET /configuration` to VMs that are cut off from the store, and `GET /metrics`. */
export function startPeerListener(parts: PeerListenerParts): Promise<Server> {
    return startListener(parts.address, (req, res) => {
        if (req.url === "/metrics") {
            res.writeHead(OK, { "content-type": "text/plain; version=0.0.4" });
            res.end(parts.metrics.render());
            return;
        }
        const configuration = req.url === "/configuration" ? parts.configuration() : undefined;
        res.writeHead(configuration !== undefined ? OK : req.url === "/configuration" ? UNAVAILABLE : NOT_FOUND);
        res.end(configuration);
    });
}
