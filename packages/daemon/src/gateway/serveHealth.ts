import type { IncomingMessage, ServerResponse } from "node:http";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** What the health answers are made from. */
type Health = {
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
};

/**
 * Answers `/healthz` (the process lives) and `/readyz` (the balancer may send requests here).
 *
 * @returns whether the request was one of these
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
