import { framingOf } from "@azureshunt/completion";
import type { EndpointName, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { isFinalStatus } from "@azureshunt/http";
import type { RequestState } from "@azureshunt/request";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import type { Dispatcher } from "undici";

import { firstValue } from "../gateway/firstValue.js";
import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";
import type { ServiceCall } from "../ports/ServiceCall.js";
import type { DispatchParts } from "./DispatchParts.js";
import type { DispatchPermit } from "./DispatchPermit.js";
import { failureOfError } from "./failureOfError.js";
import { placementOutcomeOf } from "./placementOutcomeOf.js";
import { placeTry } from "./placeTry.js";
import { traceTry } from "./traceTry.js";
import type { TryEnd } from "./TryEnd.js";

const STATUS_TOO_MANY = 429;
const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];

/**
 * Returns whether the end of an answer can be told from that of its connection.
 *
 * An answer without a length or chunks ends with its connection, which also ends if the service crashes or something
 * between cuts it, and a reset shows no more than a close. Half of the answer would be sent, and recorded, as the outcome.
 */
const hasEnd = (method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean =>
    method === "HEAD" || STATUSES_WITHOUT_BODY.includes(statusCode)
    || framingOf({
            "content-length": firstValue(headers["content-length"]),
            "transfer-encoding": firstValue(headers["transfer-encoding"]),
        }) !== "connection";

/**
 * Sends a call to a replica and reads its answer. A call that may not be repeated, or whose last try was silent, is sent on a
 * connection opened for it: connections that were lost without a sign are often lost together, at several endpoints. One that
 * may not be repeated continues if its caller disconnects, so that its outcome is known when the caller repeats it.
 */
async function tryOnce(
    parts: DispatchParts,
    call: Call,
    target: ServiceCall,
    placement: Placement,
    timeoutMs: number,
    isAfterSilence: boolean,
): Promise<Either<TryEnd, RecordedAnswer>> {
    const { connections } = parts;
    const signal = target.repeatable ? call.signal : undefined;
    const isPooled = target.repeatable && !isAfterSilence;
    const dispatcher = isPooled ? connections.pooled(placement.url) : connections.dedicated(placement.url);
    try {
        const res = await request(`${placement.url}${target.path}`, {
            method: target.method as "GET",
            dispatcher,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal,
            headers: {
                "x-dispatch-id": placement.dispatchId,
                "x-organisation": call.organisation,
                ...target.contentType === undefined ? {} : { "content-type": target.contentType },
                ...target.idempotencyKey === undefined ? {} : { "idempotency-key": target.idempotencyKey },
            },
            body: target.body.length === 0 ? undefined : target.body,
        });
        if (firstValue(res.headers["x-dispatch-id"]) !== placement.dispatchId) {
            res.body.on("error", () => undefined).destroy();
            return Left({ kind: "crossed" });
        }
        if (!isFinalStatus(res.statusCode)) {
            res.body.on("error", () => undefined).destroy();
            return Left({ kind: "failed" });
        }
        if (firstValue(res.headers["x-not-run"]) === "1") {
            await res.body.dump();
            return Left({ kind: "refused", full: res.statusCode === STATUS_TOO_MANY });
        }
        if (!hasEnd(target.method, res)) {
            res.body.on("error", () => undefined).destroy();
            return Left({ kind: "died" });
        }
        const body = Buffer.from(await res.body.arrayBuffer());
        return Right({
            status: res.statusCode,
            contentType: firstValue(res.headers["content-type"]),
            body: body.toString("base64"),
        });
    }
    catch (err) {
        return Left(failureOfError(err, signal));
    }
    finally {
        if (!isPooled) {
            void dispatcher.destroy();
        }
    }
}

/**
 * Serves a call to a plain service. A call that may not be repeated is retried only if no byte was sent or the service
 * said that it did not run it.
 *
 * @param permit its `begin` is called before each try
 * @returns the service's answer, or Left with the refusal to answer the caller with
 */
export async function dispatchService(
    parts: DispatchParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    permit: DispatchPermit,
): Promise<Either<Refusal, RecordedAnswer>> {
    const tried: EndpointName[] = [];
    const last = { isSilent: false };

    const afterFailure = (before: RequestState, end: TryEnd): Promise<Either<Refusal, RecordedAnswer>> =>
        parts.tries.afterFailure(before, end).caseOf<Promise<Either<Refusal, RecordedAnswer>>>({
            Left: refusal => Promise.resolve(Left(refusal)),
            Right: retry => attempt(retry),
        });

    const attempt = async (state: RequestState): Promise<Either<Refusal, RecordedAnswer>> => {
        const placed = await placeTry(parts, call, tried);
        if (placed.isLeft()) {
            return afterFailure(state, placed.extract() as TryEnd);
        }
        const placement = placed.unsafeCoerce();
        tried.push(placement.endpoint);
        if (!permit.begin()) {
            placement.end("cancelled");
            return afterFailure(state, { kind: "stopped", refusal: refusalOf("deadline-exceeded") });
        }
        traceTry(parts.trace, call.id, placement, undefined);
        const ended = await tryOnce(parts, call, target, placement, timeoutMs, last.isSilent);
        placement.end(ended.caseOf({ Left: placementOutcomeOf, Right: () => "complete" as const }));
        if (ended.isRight()) {
            parts.trace.add(call.id, "complete", { endpoint: placement.endpoint });
            return Right(ended.extract() as RecordedAnswer);
        }
        const end = ended.extract() as TryEnd;
        parts.trace.add(call.id, "try failed", { endpoint: placement.endpoint, reason: end.kind });
        last.isSilent = end.kind === "silent";
        if (last.isSilent) {
            parts.connections.retirePool(placement.url);
        }
        if (end.kind === "refused" || end.kind === "unreached") {
            permit.notRun();
        }
        return afterFailure({ ...state, tries: state.tries + 1 }, end);
    };
    return attempt(parts.tries.onArrival(call));
}
