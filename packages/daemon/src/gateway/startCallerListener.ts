import type { IncomingMessage, ServerResponse } from "node:http";

import type { Millis } from "@azureshunt/core";

import { createCallerHandler } from "./createCallerHandler.js";
import type { GatewayParts } from "./GatewayParts.js";
import { serveHealth } from "./serveHealth.js";
import { startHttpServer } from "./startHttpServer.js";

const IDLE_CHECK_MS = 50;

/** The listener that callers reach. */
type CallerListener = {
    /**
     * Ends the listener without cutting a request, and settles when all are done or the bound of the settings is over.
     *
     * Failure: the balancer sends requests here for a moment after this daemon has begun to stop, over kept-open
     * connections too; they would be refused or cut. Guard: readiness goes red first, while requests are still served
     * and each answer closes its connection; only then no new connections are taken, and what runs is waited for.
     */
    readonly drain: () => Promise<void>;
};

/**
 * Starts the callers' listener.
 *
 * @throws Error when the address cannot be bound
 */
export async function startCallerListener(parts: GatewayParts): Promise<CallerListener> {
    const { ctx } = parts.dispatch;
    const { settings } = ctx;
    const serving = { refuses: false };
    const serve = createCallerHandler(parts, () => serving.refuses);
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
        if (parts.isDraining()) {
            res.setHeader("connection", "close");
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

    const untilIdle = (giveUpAt: Millis): Promise<void> =>
        new Promise(resolve => {
            const timer = setInterval(() => {
                server.closeIdleConnections();
                if (running.requests === 0 || ctx.clock.now() > giveUpAt) {
                    clearInterval(timer);
                    resolve();
                }
            }, IDLE_CHECK_MS);
        });

    const drain: CallerListener["drain"] = async () => {
        const { announceMs, drainMs } = settings.limits;
        await new Promise(resolve => setTimeout(resolve, announceMs));
        server.close();
        await untilIdle(ctx.clock.now() + drainMs);
        serving.refuses = true;
        server.closeAllConnections();
    };
    return { drain };
}
