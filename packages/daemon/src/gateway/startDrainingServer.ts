import type { Server, ServerResponse } from "node:http";

import type { Millis } from "@azureshunt/core";
import { createCallerConnections, createRequestGate, drainCallers } from "@azureshunt/http";
import type { CallerDrainPhase, createDrainLog } from "@azureshunt/http";

import { endAnswer } from "./endAnswer.js";
import { startHttpServer } from "./startHttpServer.js";

/** Inputs of `startDrainingServer`. */
type DrainingServerParts = Omit<Parameters<typeof startHttpServer>[0], "gate"> & {
    readonly drainLog: ReturnType<typeof createDrainLog>;
};

/** A listener that stops without losing a request that was sent to it. */
type DrainingServer = {
    readonly server: Server;
    /**
     * Stops the listener gracefully; settles when no connection is left, or the time is up.
     *
     * @param announceMs time for which the port stays open, and each answer closes its connection
     * @param withinMs time for all of it
     */
    readonly drain: (announceMs: Millis, withinMs: Millis) => Promise<void>;
    /** Ends the answers that are not whole, see `endAnswer`. */
    readonly cut: () => void;
};

/**
 * Starts an HTTP listener as `startHttpServer` does; see `drainCallers` for how it stops.
 *
 * @throws Error if the address cannot be bound or a certificate cannot be read
 */
export async function startDrainingServer(parts: DrainingServerParts): Promise<DrainingServer> {
    const { drainLog, tls } = parts;
    const gate = createRequestGate();
    const connections = createCallerConnections(gate.reading);
    const state = {
        /** Phase of the drain; `undefined` before it. */
        phase: undefined as CallerDrainPhase | undefined,
        /** Requests that are served once the port is closed: their callers might come back at once, and find it closing. */
        held: [] as { readonly serve: () => void; readonly res: ServerResponse; }[],
    };
    const server = await startHttpServer({
        ...parts,
        gate,
        handler: (req, res) => {
            if (!connections.begin(req, res)) {
                req.resume();
                return;
            }
            if (state.phase !== undefined) {
                res.setHeader("connection", "close");
            }
            // A close while bytes of the caller are on their way becomes a reset, which discards the end of the answer.
            res.on("finish", () => {
                const isClosing = state.phase !== undefined && state.phase !== "announcing";
                if (isClosing || (state.phase === "announcing" && req.socket.writableEnded)) {
                    connections.halfClose(req.socket);
                    req.resume();
                }
            });
            if (state.phase === "accepting") {
                state.held.push({ serve: () => parts.handler(req, res), res });
                return;
            }
            parts.handler(req, res);
        },
    });
    server.on(tls === undefined ? "connection" : "secureConnection", connections.open);
    const endAnswers = (): void => connections.unanswered().forEach(res => endAnswer(res, "answer-lost"));
    const enter = (phase: CallerDrainPhase): void => {
        state.phase = phase;
        if (phase === "lingering") {
            state.held.splice(0).forEach(({ serve }) => serve());
        }
        if (phase === "ended") {
            state.held.splice(0).forEach(({ res }) => endAnswer(res, "shutting-down"));
            endAnswers();
        }
    };
    return {
        server,
        drain: (announceMs, withinMs) => {
            enter("announcing");
            return drainCallers({ server, connections, drainLog, announceMs, withinMs, onPhase: enter });
        },
        cut: endAnswers,
    };
}
