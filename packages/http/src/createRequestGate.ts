import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import { createChunkMerger } from "./createChunkMerger.js";
import { headEnd } from "./headEnd.js";
import { joinChunks } from "./joinChunks.js";
import type { SocketReading } from "./SocketReading.js";

type Connection = {
    /** Passes bytes to the listener's parser. */
    readonly parse: (bytes: Buffer) => void;
    /** Bytes that wait for an answer, in the order of their arrival. */
    held: Buffer[];
    heldBytes: number;
    parsedBytes: number;
    /** What had been parsed when the last answer was whole. */
    answeredBytes: number;
    /** Bytes of the body that are still to come; 0 if its length was not stated. */
    bodyBytes: number;
    /** The end of what was parsed. */
    tail: Buffer;
    unanswered: number;
    requests: number;
    last: IncomingMessage | undefined;
    isParsing: boolean;
    isFaulty: boolean;
    /** Passes on what was parsed of a body; `undefined` if its length was stated. */
    passBody: (() => void) | undefined;
    /** Merges the chunks of a body that is parsed from its first chunk on. */
    merger: ReturnType<typeof createChunkMerger> | undefined;
    /** Whether more came than is held, so that the present answer is the last one. */
    isOverfull: boolean;
    /** Parts in a row that ended no head. */
    vainCuts: number;
    res: ServerResponse | undefined;
};

/**
 * Of a caller that sends more without waiting for an answer, nothing further is run. Its connection is read on all the same:
 * its end would not be seen otherwise.
 */
const MAX_HELD_BYTES = 16 * 1024;
/** Empty lines within a body, or before a request, cost time for each part. After so many, parts end anywhere. */
const MAX_VAIN_CUTS = 64;
/** Size of those parts. Each may hold the heads of some requests, which are all kept until the first one is answered. */
const BLIND_BYTES = 128;
/** Bytes of an empty line, with the end of the line before it, that may lie in earlier parts. */
const TAIL_BYTES = 2;
const NOTHING = Buffer.alloc(0);
const NOT_READ: SocketReading = {
    bytes: 0,
    isIdle: false,
    isIncomplete: false,
    requests: 0,
    unanswered: 0,
    isHeld: false,
};

/** Bytes that belong to no request: those after one that is not valid, or after this side has ended. */
const isDiscarding = (socket: Duplex, { isFaulty, isOverfull, last }: Connection): boolean =>
    socket.destroyed || isFaulty || isOverfull || (socket.writableEnded && last?.complete !== false);

const isWaiting = ({ unanswered, last, bodyBytes }: Connection): boolean =>
    unanswered > 0 && last?.complete === true && bodyBytes === 0;

/** Returns how many bytes can be parsed without the beginning of a further request among them. */
const nextBytes = ({ bodyBytes, tail, vainCuts }: Connection, bytes: Buffer): number => {
    if (bodyBytes > 0) {
        return Math.min(bodyBytes, bytes.length);
    }
    return vainCuts > MAX_VAIN_CUTS ? Math.min(BLIND_BYTES, bytes.length) : headEnd(bytes, tail) ?? bytes.length;
};

type RequestGate = {
    /** To be called before the listener takes connections. */
    readonly attach: (server: Server) => void;
    /** Tells what has been read of a connection. */
    readonly reading: (socket: Duplex) => SocketReading;
};

/**
 * Creates a gate that lets a listener read a connection's next request once the one before it is answered.
 *
 * Callers may send requests without waiting for answers. Node reads them all at once, and keeps each with its answer until
 * those before it are sent. Symptoms: hundreds of requests in one read use up the heap, and those that run behind an answer
 * that closes the connection lose theirs. To prevent this, the parser gets at most one head at a time.
 */
export function createRequestGate(): RequestGate {
    const connections = new WeakMap<Duplex, Connection>();

    const parseNext = (socket: Duplex, connection: Connection): void => {
        const [bytes = NOTHING, ...others] = connection.held;
        const count = nextBytes(connection, bytes);
        const part = bytes.subarray(0, count);
        connection.held = count < bytes.length ? [bytes.subarray(count), ...others] : others;
        connection.heldBytes -= count;
        connection.parsedBytes += count;
        connection.bodyBytes = Math.max(0, connection.bodyBytes - count);
        connection.tail = Buffer.concat([connection.tail, part.subarray(-TAIL_BYTES)]).subarray(-TAIL_BYTES);
        const { requests, merger, vainCuts } = connection;
        connection.isParsing = true;
        for (const each of merger?.merge(part) ?? [part]) {
            if (!isDiscarding(socket, connection)) {
                connection.parse.call(socket, each);
            }
        }
        connection.isParsing = false;
        connection.passBody?.();
        // A part that was not cut may hold the beginning of a body, too.
        if (connection.requests > requests && vainCuts > MAX_VAIN_CUTS) {
            connection.merger = undefined;
        }
        connection.vainCuts = connection.requests > requests ? 0 : connection.vainCuts + 1;
    };
    const endAfterAnswer = (connection: Connection): void => {
        connection.isOverfull = true;
        if (connection.res?.headersSent === false) {
            connection.res.shouldKeepAlive = false;
        }
    };
    const parseHeld = (socket: Duplex, connection: Connection): void => {
        while (connection.held.length > 0 && !isDiscarding(socket, connection)) {
            if (isWaiting(connection)) {
                if (connection.heldBytes <= MAX_HELD_BYTES) {
                    return;
                }
                endAfterAnswer(connection);
                break;
            }
            parseNext(socket, connection);
        }
        connection.parsedBytes += connection.heldBytes;
        connection.held = [];
        connection.heldBytes = 0;
    };
    const goOn = (socket: Duplex, connection: Connection): void => {
        if (socket.isPaused() && connection.held.length > 0) {
            socket.resume();
        }
        else {
            parseHeld(socket, connection);
        }
    };

    const open = (socket: Duplex): void => {
        const [parse] = socket.listeners("data") as Connection["parse"][];
        if (parse === undefined) {
            return;
        }
        const connection: Connection = {
            parse,
            held: [],
            heldBytes: 0,
            parsedBytes: 0,
            answeredBytes: 0,
            bodyBytes: 0,
            tail: NOTHING,
            unanswered: 0,
            requests: 0,
            last: undefined,
            isParsing: false,
            isFaulty: false,
            passBody: undefined,
            merger: undefined,
            isOverfull: false,
            vainCuts: 0,
            res: undefined,
        };
        connections.set(socket, connection);
        socket.removeListener("data", parse);
        socket.on("data", (bytes: Buffer) => {
            connection.held.push(bytes);
            connection.heldBytes += bytes.length;
            connection.vainCuts = 0;
            parseHeld(socket, connection);
        });
        socket.on("resume", () => {
            // Node pauses a connection too, in its own listener before this one.
            if (!socket.isPaused()) {
                parseHeld(socket, connection);
            }
        });
    };
    const begin = (req: IncomingMessage, res: ServerResponse): void => {
        const { socket, headers } = req;
        const connection = connections.get(socket);
        if (connection === undefined) {
            return;
        }
        connection.unanswered += 1;
        connection.requests += 1;
        connection.last = req;
        connection.res = res;
        connection.bodyBytes = Number(headers["content-length"] ?? 0);
        const coding = headers["transfer-encoding"];
        connection.passBody = coding === undefined ? undefined : joinChunks(req);
        connection.merger = coding?.toLowerCase() === "chunked" ? createChunkMerger() : undefined;
        res.once("close", () => {
            connection.unanswered -= 1;
            connection.answeredBytes = connection.parsedBytes;
            goOn(socket, connection);
            if (connection.isOverfull && !socket.writableEnded) {
                socket.end();
            }
        });
    };
    const fail = (_err: Error, socket: Duplex): void => {
        const connection = connections.get(socket);
        if (connection !== undefined) {
            connection.isFaulty ||= connection.isParsing;
        }
    };
    const reading: RequestGate["reading"] = socket => {
        const connection = connections.get(socket);
        if (connection === undefined) {
            return NOT_READ;
        }
        const { unanswered, requests, last, answeredBytes, parsedBytes, heldBytes, isOverfull } = connection;
        const bytes = parsedBytes + heldBytes;
        const isRead = unanswered === 0 && bytes > 0;
        return {
            bytes,
            isIdle: isRead && bytes === answeredBytes,
            isIncomplete: (isRead && bytes !== answeredBytes) || last?.complete === false,
            requests,
            unanswered,
            isHeld: heldBytes > 0 || isOverfull,
        };
    };
    return {
        attach: server => {
            server.on("connection", open);
            server.on("secureConnection", open);
            server.prependListener("request", begin);
            server.prependListener("clientError", fail);
        },
        reading,
    };
}
