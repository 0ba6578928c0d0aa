import { request } from "node:http";
import type { Socket } from "node:net";

import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import type { OpenedCall } from "./OpenedCall.js";

/** Bound on opening a connection: tens of round trips inside a region; a dead endpoint answers never. */
const CONNECT_MS = 200;
/** Between looks at whether a quiet endpoint still shows life. */
const ASK_AGAIN_MS = 200;

/**
 * Failure: an endpoint crashes in mid-answer and its connection is reset together with the last bytes. libuv then reports
 * a plain end of the stream, and an answer without a length looks whole. Guard: the system knows no peer of a connection
 * that was reset, while it still names the peer of one that was closed. Node asks it when the address is first read, so
 * nothing may read the address before.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/**
 * Sends a request to an endpoint and waits for the head of its answer.
 *
 * Failure: the endpoint is dark or its connection lost. A request may be sent again only while no byte of it can have
 * arrived. Guard: `unreached` is said only when the connection was never open; on a kept connection every failure is
 * `broken`, which promises nothing.
 *
 * @param signal ends the call and its connection
 */
export function openCall(agent: EndpointAgent, call: EndpointCall, signal: AbortSignal): Promise<OpenedCall> {
    const [host, port] = call.address.split(":");
    agent.dropIdle(call.address, call.keptIdleMs);
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve({ kind: "cancelled" });
            return;
        }
        const progress = { isConnected: false, isBroken: false, isSilent: false, wasReset: false };
        const req = request({
            agent,
            host,
            port: Number(port),
            method: call.method,
            path: call.target,
            // Node takes names and values by turns, though its types do not say so.
            headers: call.headers as unknown as Record<string, string>,
            setHost: false,
        });
        const abort = (): void => {
            req.destroy();
        };
        const giveUp = (): void => {
            progress.isSilent = true;
            req.destroy();
        };
        const connectTimer = setTimeout(() => {
            if (!progress.isConnected) {
                giveUp();
            }
        }, CONNECT_MS);
        const headTimer = { current: undefined as NodeJS.Timeout | undefined };
        const onQuiet = (): void => {
            if (progress.isConnected && call.isAlive?.() === true) {
                headTimer.current = setTimeout(onQuiet, ASK_AGAIN_MS);
                return;
            }
            giveUp();
        };
        headTimer.current = setTimeout(onQuiet, call.headMs);
        const settle = (opened: OpenedCall): void => {
            clearTimeout(connectTimer);
            clearTimeout(headTimer.current);
            resolve(opened);
        };
        signal.addEventListener("abort", abort, { once: true });
        req.once("socket", socket => {
            agent.noteAddress(socket, call.address);
            const onEnd = (): void => {
                progress.wasReset = isReset(socket);
            };
            socket.prependOnceListener("end", onEnd);
            req.once("close", () => socket.removeListener("end", onEnd));
            if (!socket.connecting) {
                progress.isConnected = true;
                return;
            }
            socket.setNoDelay(true);
            socket.once("connect", () => {
                progress.isConnected = true;
            });
        });
        req.once("response", res =>
            settle({
                kind: "head",
                res,
                isBroken: () => progress.isBroken,
                wasReset: () => progress.wasReset,
            }));
        req.on("error", () => {
            progress.isBroken = true;
        });
        req.once("close", () => {
            signal.removeEventListener("abort", abort);
            if (!progress.isConnected) {
                settle({ kind: signal.aborted ? "cancelled" : "unreached" });
                return;
            }
            settle({ kind: signal.aborted ? "cancelled" : progress.isSilent ? "silent" : "broken" });
        });
        req.end(call.body);
    });
}
