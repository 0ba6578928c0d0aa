import type { Server } from "node:http";
import type { Duplex } from "node:stream";

import type { Millis } from "@azureshunt/core";

import { createReturnPace } from "./createReturnPace.js";

type ArrivalQueueParts = {
    /** Connections that may wait to be read. */
    readonly maxWaiting: () => number;
    /** Whether there is memory for what further connections send. */
    readonly hasRoom: () => boolean;
    /** Called for a new connection that may neither wait nor be read, with the time after which there may be a place for it. */
    readonly refuse: (socket: Duplex, retryAfterMs: Millis) => void;
    /** Called for each connection that has to wait. */
    readonly onWait?: (() => void) | undefined;
};

/** New connections that wait to be read. */
type ArrivalQueue = {
    /** To be called before the listener takes connections, and after all else that reads from them. */
    readonly attach: (server: Server) => void;
    /** Whether a connection has had no turn yet in which it could be read. */
    readonly isWaiting: (socket: Duplex) => boolean;
    readonly size: () => number;
};

/** Turns in a row that accept a connection each, from which on others are likely to wait in the system's queue. */
const BURST_TURNS = 8;
/** Connections that are read for the first time in one turn; Node reads up to 64 KB of each. */
const READ_PER_TURN = 8;
/** Callers may have little time. A connection that has waited for longer is read, so that its request is judged. */
const MAX_WAIT_MS: Millis = 1_000;
/** The same in a burst. If turns are long for another reason, as without CPU time, accepting first does not end the burst. */
const MAX_BURST_WAIT_MS: Millis = 100;
/** Bounds of the time that a place takes to become free. */
const MIN_READ_MS: Millis = 1;
const MAX_READ_MS: Millis = 20;
/** How often room is looked for. */
const POLL_MS: Millis = 5;

/**
 * Creates a queue in which new connections wait until they can be read.
 *
 * The event loop accepts one connection in each turn, and then reads up to 64 KB of every readable one. After a time in which the
 * process did not run, as many connections wait as the system's queue holds, and each turn takes as long as the requests in it.
 * Symptoms: the system's queue stays full for seconds, and the system resets further callers that it has answered; and callers are
 * refused for memory, and come back, though a little later there is room for them. To prevent this, new connections are not read
 * while each turn brings another one, and not while there is no room. They are read a few in a turn, in the order of their arrival.
 */
export function createArrivalQueue({ maxWaiting, hasRoom, refuse, onWait }: ArrivalQueueParts): ArrivalQueue {
    /** By connection, when it was accepted; oldest first. */
    const waiting = new Map<Duplex, Millis>();
    /** Those that are read in the present turn. */
    const ready = new Set<Duplex>();
    const state = {
        hasAccepted: false,
        isWatched: false,
        turns: 0,
    };
    const pace = createReturnPace({
        now: () => performance.now(),
        minGapMs: MIN_READ_MS,
        maxGapMs: MAX_READ_MS,
    });

    const isBurst = (): boolean => state.turns >= BURST_TURNS;
    const countToRead = (): number => {
        if (!isBurst() && hasRoom()) {
            return READ_PER_TURN;
        }
        const since = performance.now() - (hasRoom() ? MAX_BURST_WAIT_MS : MAX_WAIT_MS);
        const due = [...waiting.values()].slice(0, READ_PER_TURN).filter(acceptedAt => acceptedAt < since).length;
        return Math.max(due, hasRoom() && waiting.size >= maxWaiting() ? 1 : 0);
    };
    const read = (socket: Duplex): void => {
        pace.recordPlace();
        waiting.delete(socket);
        ready.add(socket);
        socket.resume();
    };
    const endTurn = (): void => {
        state.isWatched = false;
        state.turns = state.hasAccepted ? state.turns + 1 : 0;
        state.hasAccepted = false;
        ready.clear();
        [...waiting.keys()].slice(0, waiting.size === 0 ? 0 : countToRead()).forEach(read);
        if (state.turns > 0 || ready.size > 0 || (waiting.size > 0 && hasRoom())) {
            watchTurn();
        }
        else if (waiting.size > 0) {
            state.isWatched = true;
            setTimeout(endTurn, POLL_MS);
        }
    };
    const watchTurn = (): void => {
        if (!state.isWatched) {
            state.isWatched = true;
            setImmediate(endTurn);
        }
    };
    const accept = (socket: Duplex): void => {
        state.hasAccepted = true;
        watchTurn();
        if (!isBurst() && waiting.size === 0 && hasRoom()) {
            socket.resume();
            return;
        }
        if (waiting.size >= maxWaiting() && !hasRoom()) {
            socket.resume();
            refuse(socket, pace.nextReturnMs());
            return;
        }
        waiting.set(socket, performance.now());
        onWait?.();
        socket.once("close", () => {
            waiting.delete(socket);
            ready.delete(socket);
        });
    };
    return {
        attach: server => {
            // `pause` of a connection that Node has begun to read comes too late for its first 64 KB.
            Object.assign(server, { pauseOnConnect: true });
            server.on("connection", accept);
        },
        isWaiting: socket => waiting.has(socket) || ready.has(socket),
        size: () => waiting.size,
    };
}
