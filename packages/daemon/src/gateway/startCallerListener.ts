import type { IncomingMessage, ServerResponse } from "node:http";

import { createCallerHandler } from "./createCallerHandler.js";
import type { GatewayParts } from "./GatewayParts.js";
import { serveHealth } from "./serveHealth.js";
import { startHttpServer } from "./startHttpServer.js";

const IDLE_CHECK_MS = 50;

/** The listener that callers reach. */
type CallerListener = {
    /** Takes no new connections, closes each one after its running request, and settles when all are done or late. */
    readonly drain: (boundMs: number) => Promise<void>;
};

/**
 * Starts the callers' listener.
 *
 * @throws Error when the address cannot be bound
 */
export async function startCallerListener(parts: GatewayParts): Promise<CallerListener> {
    const { ctx } = parts.dispatch;
    const { settings } = ctx;
    const serve = createCallerHandler(parts);
    const running = { requests: 0 };
    ctx.metrics.gauge("azureshunt_requests_running", "Callers' requests that run now.", () => running.requests);

    const handler = (req: IncomingMessage, res: ServerResponse): void => {
        if (
            serveHealth(req, res, {
                isDraining: parts.isDraining,
                isReady: () => ctx.release.current() !== undefined,
            })
        ) {
            return;
        }
        running.requests += 1;
        res.once("close", () => {
            running.requests -= 1;
        });
        serve(req, res);
    };
    const server = await startHttpServer({
        address: settings.listen.caller,
        tls: settings.tls.caller,
        limits: settings.limits,
        handler,
    });

    const drain: CallerListener["drain"] = boundMs =>
        new Promise(resolve => {
            const giveUpAt = ctx.clock.now() + boundMs;
            const timer = setInterval(() => {
                server.closeIdleConnections();
                if (running.requests === 0 || ctx.clock.now() > giveUpAt) {
                    clearInterval(timer);
                    server.close();
                    server.closeAllConnections();
                    resolve();
                }
            }, IDLE_CHECK_MS);
        });
    return { drain };
}
