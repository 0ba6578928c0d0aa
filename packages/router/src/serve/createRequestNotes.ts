import type { Clock, Millis, RequestId } from "@azureshunt/core";
import type { Logger } from "pino";

import { isSampled } from "./isSampled.js";

/** Buffers the log lines about one request until it is known whether they are to be written. */
type RequestNotes = {
    /** Records a decision with the inputs on which it is based. */
    readonly add: (message: string, inputs: object) => void;
    /** Called when the request is not an ordinary one: writes the buffered lines, and later ones at once. */
    readonly flush: () => void;
    /** Number of buffered lines. */
    readonly size: () => number;
};

type Note = { readonly message: string; readonly inputs: object; readonly afterMs: Millis; };

/**
 * Creates the notes of a request.
 *
 * With thousands of requests per second, nearly all of them answered at the first try, writing their lines would cost
 * more than serving them, and nobody reads them except for a sample. The lines of all other requests must be complete,
 * but which requests these are is known only after their first lines.
 */
export function createRequestNotes(logger: Logger, clock: Clock, id: RequestId): RequestNotes {
    const startedAt = clock.now();
    const state = { isFlushed: isSampled(id), buffered: [] as Note[] };
    const write = ({ message, inputs, afterMs }: Note): void => logger.info({ id, afterMs, ...inputs }, message);
    return {
        add: (message, inputs) => {
            const note = { message, inputs, afterMs: Math.round(clock.now() - startedAt) };
            if (state.isFlushed) {
                write(note);
                return;
            }
            state.buffered.push(note);
        },
        flush: () => {
            state.isFlushed = true;
            state.buffered.forEach(write);
            state.buffered = [];
        },
        size: () => state.buffered.length,
    };
}
