import type { Server } from "node:http";

import { startListener } from "../serve/startListener.js";

/** What other VMs can ask for. */
type PeerListenerParts = {
    readonly address: string;
    /** The configuration as the store gave it; undefined while there is none. */
    readonly configuration: () => Buffer | undefined;
};

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;

/** Serves `GET /configuration` to VMs that are cut off from the store. */
export function startPeerListener(parts: PeerListenerParts): Promise<Server> {
    return startListener(parts.address, (req, res) => {
        const configuration = req.url === "/configuration" ? parts.configuration() : undefined;
        res.writeHead(configuration !== undefined ? OK : req.url === "/configuration" ? UNAVAILABLE : NOT_FOUND);
        res.end(configuration);
    });
}
