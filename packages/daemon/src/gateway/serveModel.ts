import type { ServerResponse } from "node:http";

import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import { createModelAnswer } from "../dispatch/createModelAnswer.js";
import { dispatchModel } from "../dispatch/dispatchModel.js";
import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { Reservation } from "../ports/Reservation.js";
import type { GatewayParts } from "./GatewayParts.js";

/**
 * Serves one call to a model: reserves the upper estimate of its tokens, dispatches it, and settles the tokens used.
 *
 * @returns Right once the caller has been sent the complete answer
 */
export async function serveModel(
    parts: GatewayParts,
    call: Call,
    target: ModelCall,
    res: ServerResponse,
): Promise<Either<Refusal, void>> {
    const { ctx, suspects } = parts.dispatch;
    const estimate = target.promptTokens + target.maxTokens;
    const reserved = await suspects.check(call).caseOf<Promise<Either<Refusal, Reservation>>>({
        Left: refusal => Promise.resolve(Left(refusal)),
        Right: valid => parts.allowance.reserve(valid.organisation, estimate, valid.deadline, valid.signal),
    });
    if (reserved.isLeft()) {
        return Left(reserved.extract() as Refusal);
    }
    const reservation = reserved.extract() as Reservation;
    const answer = createModelAnswer(call, target, res, ctx.clock.epoch());
    const used = await dispatchModel(parts.dispatch, call, target, answer).catch((err: unknown) => {
        parts.allowance.settle(reservation, estimate);
        throw err;
    });
    parts.allowance.settle(reservation, used.caseOf({ Left: usedAfterRefusal(estimate), Right: tokens => tokens }));
    return used.map(() => undefined);
}

/** Returns the tokens charged for a refused request: none if it did not run, else the whole estimate. */
const usedAfterRefusal = (estimate: number) => (refusal: Refusal): number => refusal.ran === "no" ? 0 : estimate;
