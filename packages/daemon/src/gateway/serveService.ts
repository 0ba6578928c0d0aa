import type { ServerResponse } from "node:http";

import type { Refusal } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { DispatchPermit } from "../dispatch/DispatchPermit.js";
import { dispatchService } from "../dispatch/dispatchService.js";
import type { Call } from "../ports/Call.js";
import type { IntentAdmission } from "../ports/IntentAdmission.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";
import type { Reservation } from "../ports/Reservation.js";
import type { ServiceCall } from "../ports/ServiceCall.js";
import type { GatewayParts } from "./GatewayParts.js";

const DEFAULT_TIMEOUT_MS = 10_000;

/** Permit of a call without an idempotency key. It has no intent; the retry policy alone keeps it from running twice. */
const PERMIT_WITHOUT_INTENT: DispatchPermit = { begin: () => true, notRun: () => undefined };

const send = (call: Call, res: ServerResponse, answer: RecordedAnswer, replayed: boolean): void => {
    res.writeHead(answer.status, {
        "x-request-id": call.id,
        ...answer.contentType === undefined ? {} : { "content-type": answer.contentType },
        ...replayed ? { "x-replayed": "1" } : {},
    });
    res.end(Buffer.from(answer.body, "base64"));
};

/** Dispatches a call under an intent. The outcome is recorded before the caller receives it. */
async function dispatchUnderIntent(
    parts: GatewayParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    admission: Extract<IntentAdmission, { readonly kind: "dispatch"; }>,
): Promise<Either<Refusal, RecordedAnswer>> {
    const answered = await dispatchService(parts.dispatch, call, target, timeoutMs, admission)
        .catch(async (err: unknown) => {
            await admission.complete(undefined);
            throw err;
        });
    await answered.caseOf({
        Left: refusal => refusal.ran === "no" ? admission.withdraw() : admission.complete(undefined),
        Right: answer => admission.complete(answer),
    });
    return answered;
}

/**
 * Serves one call to a plain service: reserves its cost, dispatches it, and settles the cost. A call that may not be
 * repeated and has an idempotency key runs only under an intent of this daemon.
 *
 * @returns Right once the caller has been sent the complete answer
 */
export async function serveService(
    parts: GatewayParts,
    cfg: Configuration,
    call: Call,
    target: ServiceCall,
    res: ServerResponse,
): Promise<Either<Refusal, void>> {
    const spec = cfg.services.get(target.service);
    const timeoutMs = spec?.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const cost = spec?.costTokens ?? 0;
    const reserved = await parts.allowance.reserve(call.organisation, cost, call.deadline, call.signal);
    if (reserved.isLeft()) {
        return Left(reserved.extract() as Refusal);
    }
    const reservation = reserved.extract() as Reservation;
    const answered = await serveReserved(parts, call, target, timeoutMs, res).catch((err: unknown) => {
        parts.allowance.settle(reservation, cost);
        throw err;
    });
    parts.allowance.settle(
        reservation,
        answered.caseOf({ Left: refusal => refusal.ran === "no" ? 0 : cost, Right: () => cost }),
    );
    return answered;
}

/** Dispatches under an intent if the call may not be repeated and has an idempotency key, else without one. */
async function serveReserved(
    parts: GatewayParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    res: ServerResponse,
): Promise<Either<Refusal, void>> {
    if (!target.repeatable && target.idempotencyKey !== undefined) {
        return await serveUnderIntent(parts, call, target, timeoutMs, res);
    }
    const answered = await dispatchService(parts.dispatch, call, target, timeoutMs, PERMIT_WITHOUT_INTENT);
    return answered.map(answer => send(call, res, answer, false));
}

async function serveUnderIntent(
    parts: GatewayParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    res: ServerResponse,
): Promise<Either<Refusal, void>> {
    const admitted = await parts.intents.admit(call);
    return admitted.caseOf<Promise<Either<Refusal, void>>>({
        Left: refusal => Promise.resolve(Left(refusal)),
        Right: async admission => {
            if (admission.kind === "recorded") {
                send(call, res, admission.answer, true);
                return Right(undefined);
            }
            const answered = await dispatchUnderIntent(parts, call, target, timeoutMs, admission);
            return answered.map(answer => send(call, res, answer, false));
        },
    });
}
