import type { Clock, Millis, RequestId } from "@azureshunt/core";
import type { Logger } from "pino";

import { isSampled } from "./isSampled.js";

/** Collects the decisions on one request until it is known whether they are worth a line. */
type RequestNotes = {
    /** Notes a decision with the inputs that decided it. */
    readonly add: (what: string, inputs: object) => void;
    /** The request is not an ordinary one: what was noted is written, and what comes is written at once. */
    readonly tell: () => void;
};

type Note = { readonly what: string; readonly inputs: object; readonly afterMs: Millis; };

/**
 * Starts the notes of a request.
 *
 * Load: thousands of requests a second, nearly all of them answered at their first try. Their lines would cost more than
 * serving them, and nobody reads them, but for a sample; the lines of the others must all be there. Which one it is shows
 * only later.
 */
export function createRequestNotes(logger: Logger, clock: Clock, id: RequestId): RequestNotes {
    const startedAt = clock.now();
    const state = { isTold: isSampled(id), held: [] as Note[] };
    const write = ({ what, inputs, afterMs }: Note): void => logger.info({ id, afterMs, ...inputs }, what);
    return {
        add: (what, inputs) => {
            const note = { what, inputs, afterMs: Math.round(clock.now() - startedAt) };
            if (state.isTold) {
                write(note);
                return;
            }
            state.held.push(note);
        },
        tell: () => {
            state.isTold = true;
            state.held.forEach(write);
            state.held = [];
        },
    };
}
