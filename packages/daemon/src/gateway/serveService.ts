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

/** Without a key there is no intent; the decision on further tries alone keeps the call to one run. */
const ONE_TRY_AT_A_TIME: DispatchPermit = { begin: () => true, notRun: () => undefined };

const send = (call: Call, res: ServerResponse, answer: RecordedAnswer, replayed: boolean): void => {
    res.writeHead(answer.status, {
        "x-request-id": call.id,
        ...answer.contentType === undefined ? {} : { "content-type": answer.contentType },
        ...replayed ? { "x-replayed": "1" } : {},
    });
    res.end(Buffer.from(answer.body, "base64"));
};

/** Dispatches under an intent: the outcome is recorded before the caller gets it. */
async function dispatchOnce(
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
        Left: refused => refused.ran === "no" ? admission.withdraw() : admission.complete(undefined),
        Right: answer => admission.complete(answer),
    });
    return answered;
}

/**
 * Serves one call to a plain service. A call that may not be repeated and has an idempotency key runs only under an
 * intent of this daemon.
 *
 * @returns Right when the caller has its whole answer
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
    const answered = await serveOnce(parts, call, target, timeoutMs, res).catch((err: unknown) => {
        parts.allowance.settle(reservation, cost);
        throw err;
    });
    parts.allowance.settle(
        reservation,
        answered.caseOf({ Left: refused => refused.ran === "no" ? 0 : cost, Right: () => cost }),
    );
    return answered;
}

/** Under an intent where the call may not be repeated and its caller gave a key, else as it is. */
async function serveOnce(
    parts: GatewayParts,
    call: Call,
    target: ServiceCall,
    timeoutMs: number,
    res: ServerResponse,
): Promise<Either<Refusal, void>> {
    if (!target.repeatable && target.idempotencyKey !== undefined) {
        return await serveUnderIntent(parts, call, target, timeoutMs, res);
    }
    const answered = await dispatchService(parts.dispatch, call, target, timeoutMs, ONE_TRY_AT_A_TIME);
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
        Left: refused => Promise.resolve(Left(refused)),
        Right: async admission => {
            if (admission.kind === "recorded") {
                send(call, res, admission.answer, true);
                return Right(undefined);
            }
            const answered = await dispatchOnce(parts, call, target, timeoutMs, admission);
            return answered.map(answer => send(call, res, answer, false));
        },
    });
}
