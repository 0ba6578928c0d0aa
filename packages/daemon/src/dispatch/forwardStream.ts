import { DispatchId } from "@azureshunt/core";
import { acceptPiece } from "@azureshunt/request";
import type { StreamState } from "@azureshunt/request";

import type { Call } from "../ports/Call.js";
import type { Metrics } from "../ports/Metrics.js";
import { EngineChunk } from "./EngineChunk.js";
import { failureOfError } from "./failureOfError.js";
import type { ModelAnswer } from "./ModelAnswer.js";
import { readServerSentEvents } from "./readServerSentEvents.js";
import type { TryEnd } from "./TryEnd.js";

const DONE = "[DONE]";

/** State of the stream when the try ended; `failure` is undefined if the answer is complete. */
type ForwardedStream = { readonly state: StreamState; readonly failure: TryEnd | undefined; };

/** Inputs of `forwardStream`. */
type StreamParts = {
    readonly body: AsyncIterable<Uint8Array>;
    readonly call: Call;
    readonly answer: ModelAnswer;
    readonly metrics: Metrics;
};

const toPiece = (chunk: EngineChunk) => ({
    dispatchId: DispatchId.parse(chunk.id),
    position: chunk.position,
    last: typeof chunk.choices[0]?.finish_reason === "string",
});

/** Events that an engine may send after the last piece; one at most has a use, which says that the stream is done. */
const MAX_EVENTS_AFTER = 16;

/**
 * Reads the rest of the body after the last piece, so that the connection can be reused. An engine that sends on without
 * an end would be read for ever, so its connection is closed.
 */
async function readToEnd(events: AsyncGenerator<string>): Promise<void> {
    try {
        const read = { events: 0 };
        while (read.events < MAX_EVENTS_AFTER && (await events.next()).done !== true) {
            read.events += 1;
        }
        await events.return(undefined);
    }
    catch {
        // The answer is complete. A connection that breaks now is already destroyed and will not be reused.
    }
}

/**
 * Forwards the pieces of one try to the caller, each once and in order, and no faster than the caller reads them.
 *
 * The engine's connection may be closed cleanly in the middle of an answer. Symptom: an end without the last piece.
 * Therefore only the last piece completes an answer, never the end of a connection.
 */
export async function forwardStream(parts: StreamParts, from: StreamState): Promise<ForwardedStream> {
    const { call, answer, metrics } = parts;
    const events = readServerSentEvents(parts.body);
    const progress = { state: from };

    const forwardNext = async (): Promise<TryEnd | "more" | "complete"> => {
        const next = await events.next();
        if (next.done === true || next.value === DONE) {
            return { kind: "died" };
        }
        const chunk = EngineChunk.parse(JSON.parse(next.value));
        const { state, effects } = acceptPiece(progress.state, toPiece(chunk));
        progress.state = state;
        const [effect] = effects;
        if (effect?.kind === "pass") {
            await answer.write(chunk);
        }
        if (effect?.kind === "discard") {
            metrics.count("azureshunt_pieces_discarded_total", "Pieces of streams dropped, by reason.", {
                reason: effect.reason,
            });
        }
        if (state.phase === "broken") {
            return { kind: "gap" };
        }
        if (state.phase === "complete") {
            return "complete";
        }
        return call.signal.aborted ? { kind: "cancelled" } : "more";
    };

    const forwardAll = async (): Promise<TryEnd | undefined> => {
        let ended = await forwardNext();
        while (ended === "more") {
            ended = await forwardNext();
        }
        return ended === "complete" ? undefined : ended;
    };

    try {
        const failure = await forwardAll();
        if (failure === undefined) {
            void readToEnd(events);
        }
        else {
            await events.return(undefined);
        }
        return { state: progress.state, failure };
    }
    catch (err) {
        return { state: progress.state, failure: failureOfError(err, call.signal) };
    }
}
