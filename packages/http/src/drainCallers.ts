import type { Server } from "node:http";

import type { Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";

import type { CallerDrainPhase } from "./CallerDrainPhase.js";
import type { CallerDrainState } from "./CallerDrainState.js";
import { connectionActionOf } from "./connectionActionOf.js";
import type { createCallerConnections } from "./createCallerConnections.js";
import type { createDrainLog } from "./createDrainLog.js";
import { cutAnswer } from "./cutAnswer.js";
import { queuedConnections } from "./queuedConnections.js";
import { stepCallerDrain } from "./stepCallerDrain.js";
import { stopListening } from "./stopListening.js";

type DrainParts = {
    /** The listener for callers. */
    readonly server: Server;
    readonly connections: ReturnType<typeof createCallerConnections>;
    readonly drainLog: ReturnType<typeof createDrainLog>;
    /** Time for which the port stays open. */
    readonly announceMs: Millis;
    readonly withinMs: Millis;
    /** Called as a phase begins. */
    readonly onPhase: (phase: CallerDrainPhase) => void;
};

const POLL_MS: Readonly<Record<Exclude<CallerDrainPhase, "accepting">, Millis>> = {
    announcing: 50,
    lingering: 20,
    ended: 0,
};

/** Ends the connections of callers as `stepCallerDrain` and `connectionActionOf` decide. */
export function drainCallers(parts: DrainParts): Promise<void> {
    const { server, connections, drainLog, announceMs, withinMs, onPhase } = parts;
    const startedAt = performance.now();
    const state = {
        drain: { phase: "announcing", since: 0, accepted: 0 } as CallerDrainState,
        accepted: 0,
        lookedAt: 0,
    };
    const onConnection = (): void => {
        state.accepted += 1;
    };
    server.on("connection", onConnection);

    const enter = (phase: CallerDrainPhase, now: Millis): void => {
        if (server.listening && (phase === "lingering" || phase === "ended")) {
            drainLog.portClosed(connections.counts(), now);
            stopListening(server);
        }
        onPhase(phase);
        if (phase === "ended") {
            drainLog.ended(connections.counts(), now);
            connections.unanswered().forEach(cutAnswer);
            server.closeAllConnections();
        }
    };
    const endConnections = (now: Millis): void => {
        const { phase, since } = state.drain;
        connections.forEach((socket, connectionState, halfClosedMs) => {
            const view = { state: connectionState, halfClosedMs, phase, phaseMs: now - since };
            const action = connectionActionOf(view);
            if (action === "half-close") {
                connections.halfClose(socket);
            }
            if (action === "close") {
                socket.destroy();
            }
        });
    };
    return new Promise(resolve => {
        const look = (): void => {
            const now = performance.now() - startedAt;
            const { phase } = state.drain;
            const view = {
                now,
                announceMs,
                withinMs,
                accepted: state.accepted,
                queued: phase === "accepting" ? queuedConnections(server) : undefined,
                turnMs: now - state.lookedAt,
                openConnections: connections.size(),
            };
            state.accepted = 0;
            state.lookedAt = now;
            state.drain = stepCallerDrain(state.drain, view);
            if (state.drain.phase !== phase) {
                enter(state.drain.phase, now);
            }
            endConnections(now);
            schedule(state.drain.phase !== phase);
        };
        const schedule = (isSoon: boolean): void => {
            const { phase } = state.drain;
            if (phase === "ended") {
                server.removeListener("connection", onConnection);
                resolve();
                return;
            }
            // The queue of connections is looked at right after each turn that may have accepted one.
            if (phase === "accepting" || isSoon) {
                setImmediate(look);
                return;
            }
            startTimeout(POLL_MS[phase], look);
        };
        schedule(false);
    });
}
