import type { IncomingMessage, ServerResponse } from "node:http";

import { createDrainLog } from "@azureshunt/http";

import { createCallerHandler } from "./createCallerHandler.js";
import type { GatewayParts } from "./GatewayParts.js";
import { serveHealth } from "./serveHealth.js";
import { startDrainingServer } from "./startDrainingServer.js";

/** The listener for callers' requests. */
type CallerListener = {
    /**
     * Stops the listener gracefully; settles when all connections have ended or `limits.drainMs` has elapsed.
     *
     * The load balancer keeps sending requests for a moment after this daemon starts to shut down, also on idle
     * connections; they would be refused or cut off. To prevent this, `/readyz` fails first, for `limits.announceMs`,
     * while requests are still served and each answer closes its connection. Only then are new connections refused, and
     * requests that were sent by then awaited.
     */
    readonly drain: () => Promise<void>;
    /** Refuses all further requests. */
    readonly refuse: () => void;
    /** Closes all connections, also those with running requests. */
    readonly cut: () => void;
};

/**
 * Starts the listener for callers' requests.
 *
 * @throws Error if the address cannot be bound or a certificate cannot be read
 */
export async function startCallerListener(parts: GatewayParts): Promise<CallerListener> {
    const { ctx } = parts.dispatch;
    const { settings } = ctx;
    const shutdown = { isRefusing: false };
    const serve = createCallerHandler(parts, () => shutdown.isRefusing);
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
    const listener = await startDrainingServer({
        address: settings.listen.caller,
        claim: parts.claim,
        tls: settings.tls.caller,
        limits: settings.limits,
        handler,
        drainLog: createDrainLog(ctx.metrics, ctx.logger("gateway")),
    });

    const refuse = (): void => {
        shutdown.isRefusing = true;
    };
    const drain: CallerListener["drain"] = async () => {
        const { announceMs, drainMs } = settings.limits;
        await listener.drain(announceMs, announceMs + drainMs);
        refuse();
    };
    return { drain, refuse, cut: listener.cut };
}
