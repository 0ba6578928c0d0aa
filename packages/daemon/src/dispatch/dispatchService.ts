import type { EndpointName, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { request } from "undici";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";
import type { ServiceCall } from "../ports/ServiceCall.js";
import type { DispatchParts } from "./DispatchParts.js";
import type { TryFailure } from "./TryFailure.js";

const MAX_TRIES = 3;

const headerOf = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;

const neverSent = (err: unknown): boolean =>
    err instanceof Error && "code" in err && (err.code === "ECONNREFUSED" || err.code === "UND_ERR_CONNECT_TIMEOUT");

async function tryOnce(
    parts: DispatchParts,
    call: Call,
    target: ServiceCall,
    placement: Placement,
    timeoutMs: number,
): Promise<Either<TryFailure, RecordedAnswer>> {
    try {
        const res = await request(`${placement.url}${target.path}`, {
            method: target.method as "GET",
            dispatcher: parts.dispatcher,
            // A call that may not be repeated goes out on a connection of its own: a pooled one may have gone silent,
            // and then it would not be known whether the call ran.
            reset: !target.repeatable,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal: call.signal,
            headers: {
                "x-dispatch-id": placement.dispatchId,
                "x-organisation": call.organisation,
                ...target.contentType === undefined ? {} : { "content-type": target.contentType },
                ...target.idempotencyKey === undefined ? {} : { "idempotency-key": target.idempotencyKey },
            },
            body: target.body.length === 0 ? undefined : target.body,
        });
        if (headerOf(res.headers["x-dispatch-id"]) !== placement.dispatchId) {
            res.body.destroy();
            return Left("died");
        }
        const body = Buffer.from(await res.body.arrayBuffer());
        if (headerOf(res.headers["x-not-run"]) === "1") {
            return Left("refused");
        }
        return Right({
            status: res.statusCode,
            contentType: headerOf(res.headers["content-type"]),
            body: body.toString("base64"),
        });
    }
    catch (err) {
        return Left(call.signal.aborted ? "cancelled" : neverSent(err) ? "unreached" : "died");
    }
}

/**
 * Serves a call to a plain service. A call that may not be repeated is tried again only where no byte went out or the
 * service refused it.
 *
 * @param begin called right before a first byte can go out; the call is not sent when it gives false
 * @returns the service's answer, or the refusal that the caller is to get
 */
export async function dispatchService(
    parts: DispatchParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    begin: () => boolean,
): Promise<Either<Refusal, RecordedAnswer>> {
    const tried: EndpointName[] = [];

    const attempt = async (): Promise<Either<Refusal, RecordedAnswer>> => {
        const placed = await parts.recheck(call).caseOf({
            Left: refused => Promise.resolve(Left<Refusal, Placement>(refused)),
            Right: valid => parts.placement.place(valid, tried),
        });
        if (placed.isLeft()) {
            return Left(placed.extract() as Refusal);
        }
        const placement = placed.unsafeCoerce();
        tried.push(placement.endpoint);
        if (!begin()) {
            placement.end("cancelled");
            return Left(refusalOf("intent-running", undefined, { ran: "no" }));
        }
        const ended = await tryOnce(parts, call, target, placement, timeoutMs);
        placement.end(ended.caseOf({
            Left: failure => failure === "unreached" ? "died" : failure,
            Right: () => "complete" as const,
        }));
        if (ended.isRight()) {
            return ended as Either<Refusal, RecordedAnswer>;
        }
        const failure = ended.extract() as TryFailure;
        const hasNotRun = failure === "refused" || failure === "unreached";
        if ((target.repeatable || hasNotRun) && failure !== "cancelled" && tried.length < MAX_TRIES) {
            parts.ctx.metrics.count("azureshunt_retries_total", "Tries that failed, by kind of error.", {
                kind: failure,
            });
            return attempt();
        }
        return Left(refusalOf(hasNotRun ? "no-endpoint" : target.repeatable ? "endpoint-failed" : "answer-lost"));
    };
    return attempt();
}
