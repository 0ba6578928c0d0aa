import type { EndpointName, Refusal, Tokens } from "@azureshunt/core";
import { openStream } from "@azureshunt/request";
import type { RequestState } from "@azureshunt/request";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import type { ModelAnswer } from "./ModelAnswer.js";
import { openEngineStream } from "./openEngineStream.js";
import { outcomeOfTry } from "./outcomeOfTry.js";
import { passStream } from "./passStream.js";
import { placeAdmitted } from "./placeAdmitted.js";
import { runEndOf } from "./runEndOf.js";
import { traceTry } from "./traceTry.js";
import type { TryEnd } from "./TryEnd.js";

/** Wait for the head of an answer, in multiples of the estimated time to the first token, beyond the idle bound. */
const FIRST_BYTE_FACTOR = 4;

/** Time to find another endpoint for a stream that has begun; the deadline for its start has passed then. */
const RESUME_WAIT_MS = 10_000;

/** How a try ended, and the position of the first piece that the caller still lacks. */
type TryResult = { readonly next: number; readonly failure: TryEnd | undefined; };

async function tryOnce(
    parts: DispatchParts,
    call: Call,
    target: ModelCall,
    placement: Placement,
    from: number,
    answer: ModelAnswer,
): Promise<TryResult> {
    const { metrics, settings } = parts.ctx;
    const { idleMs } = settings.limits;
    const opened = await openEngineStream({
        dispatcher: parts.connections.pooled(placement.url),
        call,
        target,
        placement,
        resumeFrom: from,
        firstMs: idleMs + FIRST_BYTE_FACTOR * placement.estimate,
        idleMs,
        signal: call.signal,
    });
    return opened.caseOf<Promise<TryResult>>({
        Left: failure => Promise.resolve({ next: from, failure }),
        Right: async stream => {
            placement.started(stream.incarnation, stream.cachedTokens);
            const passed = await passStream(
                { body: stream.body, call, answer, metrics },
                openStream(placement.dispatchId, from),
            );
            return { next: passed.state.next, failure: passed.failure };
        },
    });
}

async function tryAndReport(
    parts: DispatchParts,
    call: Call,
    target: ModelCall,
    placement: Placement,
    from: number,
    answer: ModelAnswer,
): Promise<TryResult> {
    const run = parts.suspects.running(call, placement);
    const piece: ModelAnswer["piece"] = chunk => {
        run.answering();
        return answer.piece(chunk);
    };
    const result = await tryOnce(parts, call, target, placement, from, { ...answer, piece });
    const { failure } = result;
    if (failure?.kind === "silent") {
        parts.connections.distrust(placement.url);
    }
    placement.end(failure === undefined ? "complete" : outcomeOfTry(failure));
    await run.end(runEndOf(failure));
    return result;
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
    const tried: EndpointName[] = [];

    const afterFailure = (request: RequestState, end: TryEnd): Promise<Either<Refusal, Tokens>> =>
        parts.tries.after(request, end).caseOf<Promise<Either<Refusal, Tokens>>>({
            Left: refused => Promise.resolve(Left(refused)),
            Right: again => attempt(again),
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
        const { next, failure } = await tryAndReport(parts, call, target, placement, request.next, answer);
        if (failure === undefined) {
            answer.complete();
            parts.trace.add(call.id, "complete", { endpoint: placement.endpoint, tokens: next });
            return Right(target.promptTokens + next);
        }
        parts.trace.add(call.id, "try failed", { endpoint: placement.endpoint, reason: failure.kind, position: next });
        const ran = next > 0 ? "yes" : request.ran;
        return afterFailure({ ...request, next, ran, tries: request.tries + 1 }, failure);
    };
    return attempt(parts.tries.arrive(call));
}
