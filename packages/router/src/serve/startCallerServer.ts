import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Millis } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { ErrorKind, Refusal } from "@azureshunt/core";
import { connectionLevels } from "@azureshunt/flow";
import {
    createArrivalQueue,
    createCallerConnections,
    createRequestGate,
    drainCallers,
    judgeTimeouts,
} from "@azureshunt/http";
import type { CallerDrainPhase, createDrainLog } from "@azureshunt/http";
import { afterPendingReads, startTimeout } from "@azureshunt/lifecycle";

import type { CallerLimits } from "../configuration/CallerLimits.js";
import type { CallerWire } from "../ports/CallerWire.js";
import type { RouterSettings } from "../RouterSettings.js";
import { areDescriptorsUsed } from "./areDescriptorsUsed.js";
import { connectionAdmission } from "./connectionAdmission.js";
import type { RunClaims } from "./RunClaims.js";
import { sendRefusal } from "./sendRefusal.js";
import { startListener } from "./startListener.js";
import { statusOf } from "./statusOf.js";

type CallerServerParts = {
    readonly settings: RouterSettings;
    /** Binds an address once it is free; at once if omitted. */
    readonly claim?: (address: string, bind: () => Promise<Server>) => Promise<Server>;
    readonly handler: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
    readonly callerWire: CallerWire;
    readonly limits: () => CallerLimits | undefined;
    readonly isReady: () => boolean;
    /** Descriptors that the process may have open; `undefined` if not known. */
    readonly maxDescriptors?: number | undefined;
    /** Called for each connection that a caller opens while descriptors are short. */
    readonly onCrowded?: (admission: Exclude<ReturnType<typeof connectionAdmission>, "serve">) => void;
    /** Memory of this VM in MB; its connections have no bound of their own without it. */
    readonly memoryMb?: () => number | undefined;
    /** Whether there is memory for further requests; always if omitted. */
    readonly hasRoom?: () => boolean;
    /** Whether there is memory for connections between requests; always if omitted. */
    readonly keepsIdle?: () => boolean;
    /** Called for each new connection that waits to be read, or is refused as too many do. */
    readonly onArrival?: (end: "waits" | "refused") => void;
    /** Called for each connection that a caller opens. */
    readonly onConnection?: (connection: Duplex) => void;
    /** Called as a connection's idle time is up; `isIdle` unless a request has arrived by then. */
    readonly onIdleTimeout?: (isIdle: boolean) => void;
    readonly drainLog: ReturnType<typeof createDrainLog>;
    /** Tells which requests have not been passed on; any may have run if omitted. */
    readonly runClaims?: RunClaims;
    /** Called with errors that reach nobody else; see `startListener`. */
    readonly onFault?: Parameters<typeof startListener>[2];
};

/** The running listeners for callers and for the balancer. */
type CallerServer = {
    /** Waits until no request runs and no new connections are to be expected, at most for the time given. */
    readonly drain: (withinMs: Millis) => Promise<void>;
    /** Refuses all further requests. */
    readonly refuse: () => void;
    /** Cuts off the answers that have begun and are not whole, and refuses the others, as lost where they may have run. */
    readonly cut: () => void;
    /** Number of callers' connections. */
    readonly connections: () => number;
    /** Number of requests that have no whole answer yet. */
    readonly unanswered: () => number;
};

const OK = 200;
const UNAVAILABLE = 503;
/** A caller that takes longer to send a body only occupies memory: its own deadline has passed by then. */
const BODY_TIMEOUT_MS = 30_000;
const LIMITS_INTERVAL_MS = 250;
/** The balancer probes once per second and removes a VM after two failures; until then, new connections arrive. */
const ANNOUNCE_MS = 2_600;
/** A caller that sends on for longer after its last answer does not read it. */
const MAX_LINGER_MS = 2_000;
/** Fraction of the idle connections that is closed at each interval while there is no memory for them. */
const IDLE_FRACTION = 0.25;

const ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
    HPE_HEADER_OVERFLOW: "headers-too-large",
    ERR_HTTP_REQUEST_TIMEOUT: "headers-too-slow",
};

const errorKindOf = (err: NodeJS.ErrnoException): ErrorKind => ERROR_KINDS[err.code ?? ""] ?? "bad-request";

const NO_DESCRIPTORS = "This VM has as many connections of callers open as its descriptors allow.";
const NO_ROOM = "As many connections wait to be read as this VM's memory allows.";
const MS_PER_SECOND = 1_000;
/** A refused caller that sends nothing for longer only occupies a descriptor. */
const REFUSED_SILENT_MS = 2_000;

const isReset = (err: NodeJS.ErrnoException): boolean => err.code === "ECONNRESET";

/** Starts the listeners for callers and for the balancer. */
export async function startCallerServer(parts: CallerServerParts): Promise<CallerServer> {
    const { settings, callerWire, drainLog, claim = (_address, bind) => bind() } = parts;
    const keepsIdle = (): boolean => parts.keepsIdle?.() ?? true;
    const gate = createRequestGate();
    const levels = () => connectionLevels(parts.memoryMb?.());
    const arrivals = createArrivalQueue({
        maxWaiting: () => levels().unread,
        hasRoom: () => state.phase !== undefined || (parts.hasRoom?.() ?? true),
        refuse: (socket, retryAfterMs) => {
            parts.onArrival?.("refused");
            refuseUnread(
                socket,
                refusalOf("memory-exhausted", NO_ROOM, { retryAfterSeconds: retryAfterMs / MS_PER_SECOND }),
            );
        },
        onWait: () => parts.onArrival?.("waits"),
    });
    const connections = createCallerConnections(gate.reading, arrivals.isWaiting);
    /** Connections beyond those that are served, oldest first. */
    const refused = new Set<Duplex>();
    /** Connections that are closed after their answer. */
    const servedOnce = new WeakSet<Duplex>();
    const state = {
        /** Phase of the drain; `undefined` before it. */
        phase: undefined as CallerDrainPhase | undefined,
        isRefusing: false,
        /** Requests that are refused once the port is closed. */
        held: [] as ServerResponse[],
    };
    const isClosing = (): boolean => state.phase !== undefined && state.phase !== "announcing";
    const refuseLate = (res: ServerResponse): void => {
        drainLog.refused();
        sendRefusal(callerWire, res, refusalOf("shutting-down", undefined, { retryAfterSeconds: 0 }), true);
    };
    const listen = (address: string, handler: Parameters<typeof startListener>[1]): Promise<Server> =>
        claim(address, () => startListener(address, handler, parts.onFault, levels().backlog));
    // Before the callers' listener, as a caller that has connected must be served.
    const ready = await listen(settings.listen.ready, (_req, res) => {
        res.writeHead(parts.isReady() ? OK : UNAVAILABLE);
        res.end();
    });
    gate.attach(ready);
    judgeTimeouts(ready, { reading: gate.reading, refuse: (_err, socket) => void socket.destroy() });
    const server = await listen(settings.listen.callers, (req, res) => {
        if (!connections.begin(req, res)) {
            req.resume();
            return undefined;
        }
        /**
         * An answer that began before the shutdown has no `Connection: close`; no further request may follow on it. And
         * a close while bytes of the caller are on their way, as those of a body that was refused, becomes a reset, which
         * discards the end of the answer. To prevent this, the connection is half-closed, and what arrives is discarded.
         */
        res.on("finish", () => {
            const isLast = req.socket.writableEnded;
            const isCrowded = refused.has(req.socket) || servedOnce.has(req.socket);
            const isSending = !req.complete || gate.reading(req.socket).isHeld;
            if (isClosing() || (isLast && (state.phase !== undefined || isCrowded || isSending))) {
                connections.halfClose(req.socket);
                req.resume();
            }
        });
        if (refused.has(req.socket)) {
            sendRefusal(callerWire, res, refusalOf("vm-overloaded", NO_DESCRIPTORS), true);
            return undefined;
        }
        if (!keepsIdle()) {
            servedOnce.add(req.socket);
        }
        if (servedOnce.has(req.socket)) {
            res.shouldKeepAlive = false;
        }
        if (areDescriptorsUsed(descriptors())) {
            endRefused(true);
        }
        if (state.phase === "accepting") {
            state.held.push(res);
            return undefined;
        }
        if (isClosing() || state.isRefusing) {
            refuseLate(res);
            return undefined;
        }
        return parts.handler(req, res);
    });
    gate.attach(server);
    /** Answers on a connection of which no request has been read, and closes it. */
    const writeRefusal = (socket: Duplex, refusal: Refusal): void => {
        const { headers } = callerWire.encodeRefusal(refusal);
        const lines = headers.flatMap((name, i) => i % 2 === 0 ? [`${name}: ${headers[i + 1] ?? ""}`] : []);
        socket.end(
            [`HTTP/1.1 ${statusOf(refusal)} Refused`, ...lines, "Content-Length: 0", "Connection: close", "", ""].join(
                "\r\n",
            ),
        );
    };
    /**
     * Bytes that are not a valid request, or two requests merged into one by conflicting lengths, could be forwarded
     * and run. To prevent this, the parser is strict, the caller gets an error, and the connection is closed.
     */
    const refuseBytes = (err: NodeJS.ErrnoException, socket: Duplex): void => {
        if (isReset(err) || !socket.writable) {
            socket.destroy();
            return;
        }
        writeRefusal(socket, refusalOf(errorKindOf(err)));
        // A caller that keeps its side open must not keep a descriptor.
        connections.halfClose(socket);
    };
    judgeTimeouts(server, {
        reading: connections.reading,
        refuse: refuseBytes,
        onIdleTimeout: parts.onIdleTimeout,
    });
    /** Answers a refused connection before its request; one that still arrives is discarded. */
    const refuseUnread = (socket: Duplex, refusal = refusalOf("vm-overloaded", NO_DESCRIPTORS)): void => {
        if (socket.writable) {
            writeRefusal(socket, refusal);
            connections.halfClose(socket);
        }
        else {
            socket.destroy();
        }
    };
    /** Closes the oldest refused connection that has its answer; without one, the oldest is answered before its request. */
    const endRefused = (isDropped: boolean): void => {
        const open = [...refused].filter(socket => !socket.destroyed);
        const answered = open.find(socket => connections.reading(socket).isHalfClosed);
        const oldest = open.find(socket => connections.reading(socket).unanswered === 0);
        if (answered !== undefined) {
            answered.destroy();
        }
        else if (oldest !== undefined) {
            refuseUnread(oldest);
            if (isDropped && oldest.writableLength === 0) {
                oldest.destroy();
            }
            else if (isDropped) {
                oldest.once("finish", () => oldest.destroy());
            }
        }
    };
    const descriptors = () => ({
        served: connections.size() - refused.size,
        unanswered: connections.unanswered().size,
        refused: refused.size,
        maxDescriptors: parts.maxDescriptors,
    });
    const admit = (socket: Duplex): void => {
        const admission = connectionAdmission(descriptors());
        const isDropping = admission === "drop" || areDescriptorsUsed(descriptors());
        if (isDropping || admission === "replace") {
            endRefused(isDropping);
        }
        if (admission === "serve") {
            return;
        }
        parts.onCrowded?.(admission);
        if (admission === "serve-once") {
            servedOnce.add(socket);
            return;
        }
        refused.add(socket);
        const cancel = startTimeout(REFUSED_SILENT_MS, () => refuseUnread(socket));
        socket.once("close", () => {
            cancel();
            refused.delete(socket);
        });
    };
    server.on("connection", (socket: Duplex) => {
        admit(socket);
        connections.open(socket);
        parts.onConnection?.(socket);
    });
    arrivals.attach(server);
    const applyLimits = (): void => {
        const limits = parts.limits();
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.requestTimeout = limits.headerTimeoutMs + BODY_TIMEOUT_MS;
        }
    };
    /** Cuts off answers that have begun. Callers of the others are told whether their request may have run. */
    const endAnswers = (): void =>
        connections.unanswered().forEach(res => {
            if (parts.runClaims?.refuse(res) === true) {
                refuseLate(res);
            }
            else {
                sendRefusal(callerWire, res, refusalOf("answer-lost"), true);
            }
        });
    const timer = setInterval(() => {
        applyLimits();
        afterPendingReads(() => {
            connections.closeHalfClosed(MAX_LINGER_MS);
            if (!keepsIdle()) {
                connections.closeIdle(IDLE_FRACTION);
            }
        });
    }, LIMITS_INTERVAL_MS);

    /**
     * If a caller keeps its connection open during the shutdown and sends a request on it seconds later, that request
     * cannot end in time any more. Symptom: an answer that is cut off. To prevent this, each answer after the shutdown
     * began closes its connection. Once the balancer sends no new connections, those without a request are closed at
     * once and those with one after their answer; a request that arrives all the same is refused as not run. It is
     * refused once the port is closed, as its caller would come back at once.
     */
    const enter = (phase: CallerDrainPhase): void => {
        state.phase = phase;
        if (phase === "lingering" || phase === "ended") {
            state.held.splice(0).forEach(refuseLate);
        }
        if (phase === "ended") {
            endAnswers();
        }
    };
    return {
        drain: async withinMs => {
            enter("announcing");
            await drainCallers({
                server,
                connections,
                drainLog,
                announceMs: ANNOUNCE_MS,
                withinMs,
                onPhase: enter,
            });
            clearInterval(timer);
            ready.close();
            ready.closeAllConnections();
        },
        refuse: () => {
            state.isRefusing = true;
        },
        cut: endAnswers,
        connections: connections.size,
        unanswered: () => connections.unanswered().size,
    };
}
