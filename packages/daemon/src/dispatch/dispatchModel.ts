import type { EndpointName, Refusal, Tokens } from "@azureshunt/core";
import { openStream } from "@azureshunt/request";
import type { RequestState } from "@azureshunt/request";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import { forwardStream } from "./forwardStream.js";
import type { ModelAnswer } from "./ModelAnswer.js";
import { openEngineStream } from "./openEngineStream.js";
import { placeAdmitted } from "./placeAdmitted.js";
import { placementOutcomeOf } from "./placementOutcomeOf.js";
import { suspectRunEndOf } from "./suspectRunEndOf.js";
import { traceTry } from "./traceTry.js";
import type { TryEnd } from "./TryEnd.js";

/** Time to wait for the head of an answer beyond the idle timeout, in multiples of the estimated time to first token. */
const HEAD_WAIT_FACTOR = 4;

/** Time to find another endpoint for a started stream; the call's deadline, which bounds its start, no longer applies. */
const RESUME_WAIT_MS = 10_000;

/** Result of a try. `next` is the position of the first piece that the caller has not received. */
type TryResult = { readonly next: number; readonly failure: TryEnd | undefined; };

/** Parameters of one try. After a silent try, it gets a connection of its own, see `dispatchService`. */
type ModelTry = {
    readonly call: Call;
    readonly target: ModelCall;
    readonly placement: Placement;
    readonly fromPosition: number;
    readonly answer: ModelAnswer;
    readonly isAfterSilence: boolean;
};

async function tryOnce(
    parts: DispatchParts,
    { call, target, placement, fromPosition, answer, isAfterSilence }: ModelTry,
): Promise<TryResult> {
    const { metrics, settings } = parts.ctx;
    const { idleMs } = settings.limits;
    const { dedicated, pooled } = parts.connections;
    const dispatcher = isAfterSilence ? dedicated(placement.url) : pooled(placement.url);
    try {
        const opened = await openEngineStream({
            dispatcher,
            call,
            target,
            placement,
            resumeFrom: fromPosition,
            headTimeoutMs: idleMs + HEAD_WAIT_FACTOR * placement.estimate,
            idleMs,
            signal: call.signal,
        });
        return await opened.caseOf<Promise<TryResult>>({
            Left: failure => Promise.resolve({ next: fromPosition, failure }),
            Right: async stream => {
                placement.started(stream.incarnation, stream.cachedTokens);
                const forwarded = await forwardStream(
                    { body: stream.body, call, answer, metrics },
                    openStream(placement.dispatchId, fromPosition),
                );
                return { next: forwarded.state.next, failure: forwarded.failure };
            },
        });
    }
    finally {
        if (isAfterSilence) {
            void dispatcher.destroy();
        }
    }
}

async function tryAndReport(parts: DispatchParts, modelTry: ModelTry): Promise<TryResult> {
    const { call, placement, answer } = modelTry;
    const suspectRun = parts.suspects.running(call, placement);
    const write: ModelAnswer["write"] = chunk => {
        suspectRun.answering();
        return answer.write(chunk);
    };
    const result = await tryOnce(parts, { ...modelTry, answer: { ...answer, write } });
    const { failure } = result;
    if (failure?.kind === "silent") {
        parts.connections.retirePool(placement.url);
    }
    placement.end(failure === undefined ? "complete" : placementOutcomeOf(failure));
    await suspectRun.end(suspectRunEndOf(failure));
    return result;
}

/**
 * Serves a call to a model: chooses an endpoint and forwards its stream. If the try fails, the stream is resumed from the
 * next position, at another endpoint if there is one.
 *
 * @returns tokens used by prompt and answer, or Left with the refusal to answer the caller with
 */
export async function dispatchModel(
    parts: DispatchParts,
    call: Call,
    target: ModelCall,
    answer: ModelAnswer,
): Promise<Either<Refusal, Tokens>> {
    const tried: EndpointName[] = [];
    const last = { isSilent: false };

    const afterFailure = (request: RequestState, end: TryEnd): Promise<Either<Refusal, Tokens>> =>
        parts.tries.afterFailure(request, end).caseOf<Promise<Either<Refusal, Tokens>>>({
            Left: refusal => Promise.resolve(Left(refusal)),
            Right: retry => attempt(retry),
        });

    const attempt = async (request: RequestState): Promise<Either<Refusal, Tokens>> => {
        const deadline = request.next > 0 ? parts.ctx.clock.now() + RESUME_WAIT_MS : call.deadline;
        const placed = await placeAdmitted(parts, { ...call, deadline }, tried);
        if (placed.isLeft()) {
            return afterFailure(request, placed.extract() as TryEnd);
        }
        const placement = placed.unsafeCoerce();
        tried.push(placement.endpoint);
        traceTry(parts.trace, call.id, placement, request.next);
        const { next, failure } = await tryAndReport(parts, {
            call,
            target,
            placement,
            fromPosition: request.next,
            answer,
            isAfterSilence: last.isSilent,
        });
        last.isSilent = failure?.kind === "silent";
        if (failure === undefined) {
            answer.complete();
            parts.trace.add(call.id, "complete", { endpoint: placement.endpoint, tokens: next });
            return Right(target.promptTokens + next);
        }
        parts.trace.add(call.id, "try failed", { endpoint: placement.endpoint, reason: failure.kind, position: next });
        const ran = next > 0 ? "yes" : request.ran;
        return afterFailure({ ...request, next, ran, tries: request.tries + 1 }, failure);
    };
    return attempt(parts.tries.onArrival(call));
}
