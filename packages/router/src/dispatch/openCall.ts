import { request } from "node:http";

import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import type { OpenedCall } from "./OpenedCall.js";

/** Bound on opening a connection: a hundred round trips inside a region; a dead endpoint answers never. */
const CONNECT_MS = 300;

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
        const progress = { isConnected: false, isBroken: false, isSilent: false };
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
        const headTimer = setTimeout(giveUp, call.headMs);
        const settle = (opened: OpenedCall): void => {
            clearTimeout(connectTimer);
            clearTimeout(headTimer);
            resolve(opened);
        };
        signal.addEventListener("abort", abort, { once: true });
        req.once("socket", socket => {
            if (!socket.connecting) {
                progress.isConnected = true;
                return;
            }
            socket.setNoDelay(true);
            socket.once("connect", () => {
                progress.isConnected = true;
            });
        });
        req.once("response", res => settle({ kind: "head", res, isBroken: () => progress.isBroken }));
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
