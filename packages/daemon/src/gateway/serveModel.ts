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
 * Serves one call to a model: charges the upper estimate of its tokens, dispatches it, and settles what it used.
 *
 * @returns Right when the caller has its whole answer
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
        Left: refused => Promise.resolve(Left(refused)),
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

/** Tokens that a refused request counts for: none where it did not run, else all that was estimated. */
const usedAfterRefusal = (estimate: number) => (refused: Refusal): number => refused.ran === "no" ? 0 : estimate;
