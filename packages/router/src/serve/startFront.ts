import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Millis } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { ErrorKind } from "@azureshunt/core";

import type { CallerLimits } from "../configuration/CallerLimits.js";
import type { CallerWire } from "../ports/CallerWire.js";
import type { RouterSettings } from "../RouterSettings.js";
import { sendRefusal } from "./sendRefusal.js";
import { startListener } from "./startListener.js";
import { statusOf } from "./statusOf.js";

type FrontParts = {
    readonly settings: RouterSettings;
    readonly handler: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
    readonly callerWire: CallerWire;
    readonly limits: () => CallerLimits | undefined;
    readonly isReady: () => boolean;
};

/** The listeners for callers and for the balancer. */
type Front = {
    /** Waits until no request runs and no new connection comes, at most for the time given. */
    readonly drain: (withinMs: Millis) => Promise<void>;
};

const OK = 200;
const UNAVAILABLE = 503;
/** The balancer asks once a second and takes a VM out after two misses; connections come until then. */
const LAST_CONNECTIONS_MS = 2_600;
/** Left of the time to stop when what still runs is given up. */
const STOP_MARGIN_MS = 700;
/** A caller that takes longer to send a body holds memory for nothing; its own deadline has passed by then. */
const BODY_MS = 30_000;
const POLL_MS = 50;
const LIMITS_EVERY_MS = 250;

const FAULTS: Readonly<Record<string, ErrorKind>> = {
    HPE_HEADER_OVERFLOW: "headers-too-large",
    ERR_HTTP_REQUEST_TIMEOUT: "headers-too-slow",
};

const faultOf = (err: NodeJS.ErrnoException): ErrorKind => FAULTS[err.code ?? ""] ?? "bad-request";

const isGone = (err: NodeJS.ErrnoException): boolean => err.code === "ECONNRESET";

/** Starts the listeners for callers and for the balancer. */
export async function startFront(parts: FrontParts): Promise<Front> {
    const { settings, callerWire } = parts;
    const running = new Set<ServerResponse>();
    const state = { isClosing: false };
    const server = await startListener(settings.listen.callers, (req, res) => {
        running.add(res);
        res.once("close", () => running.delete(res));
        // An answer that began before the stop does not say that its connection ends; the next request must not come.
        res.once("finish", () => {
            if (state.isClosing) {
                req.socket.destroySoon();
            }
        });
        if (state.isClosing) {
            sendRefusal(callerWire, res, refusalOf("shutting-down", undefined, { retryAfterSeconds: 0 }), true);
            return;
        }
        void parts.handler(req, res);
    });
    /**
     * Failure: bytes that are no request, or two requests folded into one by conflicting lengths, are passed on and run.
     * Guard: the parser is strict, the caller gets its error, and the connection ends.
     */
    server.on("clientError", (err: NodeJS.ErrnoException, socket: Duplex) => {
        if (isGone(err) || !socket.writable) {
            socket.destroy();
            return;
        }
        const refusal = refusalOf(faultOf(err));
        const { headers } = callerWire.encodeRefusal(refusal);
        const lines = headers.flatMap((name, i) => i % 2 === 0 ? [`${name}: ${headers[i + 1] ?? ""}`] : []);
        socket.end(
            [`HTTP/1.1 ${statusOf(refusal)} Refused`, ...lines, "Content-Length: 0", "Connection: close", "", ""].join(
                "\r\n",
            ),
        );
    });
    const applyLimits = (): void => {
        const limits = parts.limits();
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.requestTimeout = limits.headerTimeoutMs + BODY_MS;
        }
    };
    const timer = setInterval(applyLimits, LIMITS_EVERY_MS);
    const ready = await startListener(settings.listen.ready, (_req, res) => {
        res.writeHead(parts.isReady() ? OK : UNAVAILABLE);
        res.end();
    });

    /**
     * Failure: a caller keeps its connection through the stop and sends a request on it seconds later, which cannot end
     * in time any more. It shows as an answer that is cut. Guard: each answer after the stop began ends its connection.
     * Once the balancer sends nobody new, connections without a request are closed, those with one after their answer, and
     * a request that comes all the same is told that it has not run.
     */
    const closeIdle = (): void => {
        state.isClosing = true;
        if (server.listening) {
            server.close();
        }
        server.closeIdleConnections();
    };
    const drain: Front["drain"] = withinMs =>
        new Promise(resolve => {
            const startedAt = performance.now();
            const poll = setInterval(() => {
                const passed = performance.now() - startedAt;
                if (passed > LAST_CONNECTIONS_MS) {
                    closeIdle();
                }
                const isOver = running.size === 0 && passed > LAST_CONNECTIONS_MS;
                if (isOver || passed > withinMs - STOP_MARGIN_MS) {
                    clearInterval(poll);
                    clearInterval(timer);
                    closeIdle();
                    server.closeAllConnections();
                    ready.close();
                    ready.closeAllConnections();
                    resolve();
                }
            }, POLL_MS);
        });
    return { drain };
}
