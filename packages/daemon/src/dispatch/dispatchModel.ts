import type { EndpointName, ErrorKind, Refusal, Tokens } from "@azureshunt/core";
import { answerOf, refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import { EngineChunk } from "./EngineChunk.js";
import type { ModelAnswer } from "./ModelAnswer.js";
import { openEngineStream } from "./openEngineStream.js";
import { readServerSentEvents } from "./readServerSentEvents.js";
import type { TryFailure } from "./TryFailure.js";

const DONE = "[DONE]";
const MAX_TRIES = 4;
const FIRST_BYTE_FACTOR = 4;

/** Positions passed on so far. */
type Progress = { next: number; finished: boolean; ranSomewhere: boolean; };

const kindAfter = (failure: TryFailure, progress: Progress): ErrorKind => {
    switch (failure) {
        case "cancelled":
            return "caller-gone";
        case "refused":
        case "unreached":
            return progress.ranSomewhere ? "stream-broken" : "overloaded";
        case "died":
            return progress.next > 0 ? "stream-broken" : "endpoint-failed";
    }
};

/** Passes the pieces of one try on; only the next position goes out, so pieces are never doubled or out of order. */
async function passOn(
    body: AsyncIterable<Uint8Array>,
    placement: Placement,
    progress: Progress,
    answer: ModelAnswer,
): Promise<void> {
    const first = progress.next;
    for await (const data of readServerSentEvents(body)) {
        if (data === DONE) {
            return;
        }
        const chunk = EngineChunk.parse(JSON.parse(data));
        if (chunk.id !== placement.dispatchId || chunk.position < progress.next) {
            continue;
        }
        if (progress.next === first) {
            placement.firstToken();
        }
        if (chunk.position > progress.next) {
            throw new Error("gap in the stream");
        }
        progress.next += 1;
        progress.finished = typeof chunk.choices[0]?.finish_reason === "string";
        await answer.piece(chunk);
    }
}

async function tryOnce(
    parts: DispatchParts,
    call: Call,
    target: ModelCall,
    placement: Placement,
    progress: Progress,
    answer: ModelAnswer,
): Promise<Either<TryFailure, void>> {
    const { idleMs } = parts.ctx.settings.limits;
    const endRunning = parts.suspects.running(call, placement.endpoint);
    const opened = await openEngineStream({
        dispatcher: parts.dispatcher,
        call,
        target,
        placement,
        resumeFrom: progress.next,
        firstMs: idleMs + FIRST_BYTE_FACTOR * placement.estimate,
        idleMs,
        signal: call.signal,
    });
    const ended = await opened.caseOf<Promise<Either<TryFailure, void>>>({
        Left: failure => Promise.resolve(Left(failure)),
        Right: async stream => {
            progress.ranSomewhere = true;
            placement.started(stream.incarnation as Placement["incarnation"], stream.cachedTokens);
            try {
                await passOn(stream.body, placement, progress, answer);
            }
            catch {
                return Left(call.signal.aborted ? "cancelled" : "died");
            }
            return progress.finished ? Right(undefined) : Left("died");
        },
    });
    endRunning(ended.extract() === "died");
    placement.end(ended.caseOf({
        Left: failure => failure === "unreached" ? "died" : failure,
        Right: () => "complete" as const,
    }));
    return ended;
}

/**
 * Serves a call to a model: chooses an endpoint, passes its stream on, and goes on at another endpoint from the next
 * position when it fails.
 *
 * @returns tokens used, or the refusal that the caller is to get
 */
export async function dispatchModel(
    parts: DispatchParts,
    call: Call,
    target: ModelCall,
    answer: ModelAnswer,
): Promise<Either<Refusal, Tokens>> {
    const progress: Progress = { next: 0, finished: false, ranSomewhere: false };
    const tried: EndpointName[] = [];

    const attempt = async (): Promise<Either<Refusal, Tokens>> => {
        const placed = await parts.recheck(call).caseOf({
            Left: refused => Promise.resolve(Left<Refusal, Placement>(refused)),
            Right: valid => parts.placement.place(valid, tried),
        });
        if (placed.isLeft()) {
            return placed.mapLeft(refused => progress.next === 0 ? refused : refusalOf("stream-broken"));
        }
        const placement = placed.unsafeCoerce();
        tried.push(placement.endpoint);
        const ended = await tryOnce(parts, call, target, placement, progress, answer);
        if (ended.isRight()) {
            answer.complete();
            return Right(target.promptTokens + progress.next);
        }
        const kind = kindAfter(ended.extract() as TryFailure, progress);
        parts.ctx.metrics.count("azureshunt_retries_total", "Tries that failed, by kind of error.", { kind });
        return answerOf(kind).retried && tried.length < MAX_TRIES ? attempt() : Left(refusalOf(kind));
    };
    return attempt();
}
