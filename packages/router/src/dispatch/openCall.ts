import { request } from "node:http";

import { framingOf } from "@azureshunt/completion";
import type { ConnectionEnd } from "@azureshunt/completion";
import { defaultBounds } from "@azureshunt/flow";
import { joinChunks, maxAnswerHeadBytes } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";

import type { Tunnel } from "../tunnel/Tunnel.js";
import type { CancelSignal } from "./CancelSignal.js";
import type { ConnectionKind } from "./ConnectionKind.js";
import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import type { OpenedCall } from "./OpenedCall.js";
import { wasReset } from "./wasReset.js";

/** Time limit for opening a connection: tens of round trips inside a region. A dead endpoint never answers. */
const CONNECT_MS = 200;
/** Interval of checking whether a silent endpoint is still alive. */
const RECHECK_MS = 200;

/**
 * Sends a request to an endpoint and waits for the head of its answer.
 *
 * If a link is cut, the bytes of a call are held up, and delivered once it has healed, even after the caller has closed
 * the connection. An abandoned call would then arrive after a newer one: an order with an older fence, or a request that
 * has been sent again or refused. To prevent this, a call is abandoned by a reset, which discards what has not arrived.
 *
 * If the endpoint stops responding or its connection is lost, the request may be sent again only if no byte of it can
 * have arrived. Therefore the result is `unreached` only if the connection was never open. On a reused connection every
 * failure is `broken` or `silent`, neither of which guarantees that the request has not run.
 *
 * @param signal ends the call and its connection
 * @throws Error if Node refuses to send such a request: for its target, a header, or an address that is none
 */
export function openCall(agent: EndpointAgent, call: EndpointCall, signal: CancelSignal): Promise<OpenedCall> {
    const portAt = call.address.lastIndexOf(":");
    agent.closeIdle(call.address, call.maxIdleMs, call.isRepeatable === true);
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve({ kind: "cancelled", connection: "none" });
            return;
        }
        const progress = {
            hasSocket: false,
            isConnected: false,
            isProven: true,
            isSilent: false,
            isWithheld: false,
            connection: "none" as ConnectionKind,
            connectionEnd: "open" as ConnectionEnd,
            isSent: false,
            tunnel: undefined as Tunnel | undefined,
        };
        const req = request({
            agent,
            host: call.address.slice(0, portAt),
            port: Number(call.address.slice(portAt + 1)),
            method: call.method,
            path: call.target,
            // Node accepts alternating names and values, although its types do not say so.
            headers: call.headers as unknown as Record<string, string>,
            setHost: false,
            maxHeaderSize: maxAnswerHeadBytes,
            insecureHTTPParser: false,
        });
        const abandon = (): void => {
            if (progress.isConnected) {
                req.socket?.resetAndDestroy();
            }
            req.destroy();
            if (!progress.hasSocket) {
                // Node reports the end only once a connection opens. Nothing is sent on it then.
                onClose();
            }
        };
        const endAsSilent = (): void => {
            progress.isSilent = true;
            abandon();
        };
        const endUnlessConnected = (): void => {
            if (!progress.isConnected) {
                endAsSilent();
            }
        };
        /** Ends the call before its bytes go out; a connection that is being opened has not been written to yet. */
        const withholdIfLate = (): void => {
            if (call.maySend?.() === false) {
                progress.isWithheld = true;
                req.destroy();
            }
        };
        const cancelConnectTimeout = agent.limitsOpening ? undefined : startTimeout(CONNECT_MS, endUnlessConnected);
        const headTimeout = { cancel: (): void => undefined };
        const { headBytes, progressMs } = call.bounds ?? defaultBounds;
        const head = { startBytes: 0, bytes: 0, since: 0, lastAt: -Infinity };
        /**
         * Whether bytes arrive that do not become a head: blank lines, 1xx answers, a header that goes on. Node has a bound
         * on the headers of one answer alone. Silence is no such case: after a 102 the endpoint may be at work until the
         * deadline, so the time runs only while bytes come.
         */
        const isHeadStalled = (): boolean => {
            const bytes = (req.socket?.bytesRead ?? 0) - head.startBytes;
            if (!progress.isConnected || bytes === head.bytes) {
                return false;
            }
            const now = performance.now();
            head.since = now - head.lastAt >= progressMs ? now : head.since;
            head.lastAt = now;
            head.bytes = bytes;
            return bytes > headBytes || now - head.since >= progressMs;
        };
        const headDueAt = performance.now() + call.headMs;
        const checkHead = (): void => {
            if (isHeadStalled()) {
                abandon();
                return;
            }
            const leftMs = headDueAt - performance.now();
            if (leftMs < 1) {
                onSilence();
                return;
            }
            headTimeout.cancel = startTimeout(Math.min(leftMs, RECHECK_MS), checkHead);
        };
        const onSilence = (): void => {
            // That the endpoint is alive shows nothing of a connection that was idle for long: it may be lost.
            if (progress.isConnected && progress.isProven && call.isAlive?.() === true) {
                headTimeout.cancel = startTimeout(RECHECK_MS, checkHead);
                return;
            }
            endAsSilent();
        };
        headTimeout.cancel = startTimeout(Math.min(call.headMs, RECHECK_MS), checkHead);
        const settle = (opened: OpenedCall): void => {
            cancelConnectTimeout?.();
            headTimeout.cancel();
            resolve(opened);
        };
        signal.addEventListener("abort", abandon, { once: true });
        // `on` instead of `once`: a request emits each of these events once, and `once` would wrap every listener.
        req.on("socket", socket => {
            progress.hasSocket = true;
            agent.recordAddress(socket, call.address);
            const onEnd = (): void => {
                progress.connectionEnd = wasReset(socket) ? "reset" : "closed";
                progress.isSent = req.writableFinished;
            };
            socket.prependListener("end", onEnd);
            req.on("close", () => socket.removeListener("end", onEnd));
            progress.tunnel = agent.tunnelOf(socket);
            head.startBytes = socket.bytesRead;
            if (!socket.connecting) {
                progress.isConnected = true;
                progress.connection = agent.connectionKindOf(socket);
                progress.isProven = agent.isProven(socket);
                withholdIfLate();
                return;
            }
            socket.setNoDelay(true);
            socket.once("connect", () => {
                progress.isConnected = true;
                progress.connection = "new";
                withholdIfLate();
            });
        });
        req.on("response", res => {
            agent.recordAnswer(res.socket, call.address);
            if (res.headers["transfer-encoding"] !== undefined) {
                joinChunks(res, process.nextTick);
            }
            settle({
                kind: "head",
                res,
                framing: framingOf(res.headers),
                connectionEnd: () => progress.connectionEnd,
                isRequestSent: () => progress.isSent,
                connection: progress.connection,
                carrier: progress.tunnel?.carrier,
                confirmCarrier: progress.tunnel?.confirmEnd,
            });
        });
        req.on("error", () => {
            progress.connectionEnd = "failed";
        });
        const onClose = (): void => {
            signal.removeEventListener("abort", abandon);
            const { connection } = progress;
            if (progress.isWithheld) {
                settle({ kind: "cancelled", connection });
                return;
            }
            if (!progress.isConnected) {
                settle({ kind: signal.aborted ? "cancelled" : "unreached", connection });
                return;
            }
            settle({ kind: signal.aborted ? "cancelled" : progress.isSilent ? "silent" : "broken", connection });
        };
        req.on("close", onClose);
        if (call.body.length > 0 && call.onBody !== undefined) {
            const onTaken = call.onBody(call.address, call.body.length);
            const state = { isTaken: false };
            const taken = (): void => {
                if (!state.isTaken) {
                    state.isTaken = true;
                    onTaken();
                }
            };
            req.once("finish", taken);
            req.once("close", taken);
        }
        req.end(call.body);
    });
}
