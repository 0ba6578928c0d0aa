import type { IncomingMessage, ServerResponse } from "node:http";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** State that the health endpoints report. */
type Health = {
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
};

/**
 * Answers `/healthz` (the process is alive) and `/readyz` (the load balancer may send requests to this daemon).
 *
 * @returns whether the request was for one of these paths
 */
export function serveHealth(req: IncomingMessage, res: ServerResponse, health: Health): boolean {
    const send = (status: number, text: string): boolean => {
        res.writeHead(status, { "content-type": "text/plain" });
        res.end(`${text}\n`);
        return true;
    };
    if (req.url === "/healthz") {
        return send(STATUS_OK, "ok");
    }
    if (req.url !== "/readyz") {
        return false;
    }
    if (health.isDraining()) {
        return send(STATUS_UNAVAILABLE, "draining");
    }
    return health.isReady() ? send(STATUS_OK, "ready") : send(STATUS_UNAVAILABLE, "no configuration");
}
