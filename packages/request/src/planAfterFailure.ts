import { answerOf, refusalOf } from "@azureshunt/core";
import type { ErrorKind, Millis, Ran, Refusal } from "@azureshunt/core";

import { MAX_TRIES } from "./MAX_TRIES.js";
import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { RetryPlan } from "./RetryPlan.js";
import { spendRetry } from "./spendRetry.js";
import type { TryFailure } from "./TryFailure.js";

/** Limits of the tries of one request. */
type RetryLimits = { readonly maxTries: number; };

const RAN_ORDER: Readonly<Record<Ran, number>> = { no: 0, maybe: 1, yes: 2 };

const maxRan = (a: Ran, b: Ran): Ran => (RAN_ORDER[a] >= RAN_ORDER[b] ? a : b);

const ranOf = (failure: TryFailure): Ran => {
    switch (failure.kind) {
        case "unreached":
        case "refused":
        case "unplaced":
            return "no";
        case "failed":
        case "died":
        case "silent":
        case "gap":
        case "crossed":
            return "maybe";
        case "stopped":
            return failure.refusal.ran;
    }
};

const errorKindOf = (request: RequestState, failure: TryFailure): ErrorKind => {
    if (failure.kind === "stopped") {
        return failure.refusal.kind;
    }
    if (request.next > 0) {
        return "stream-broken";
    }
    if (request.ran !== "no") {
        return request.repeatable ? "endpoint-failed" : "answer-lost";
    }
    switch (failure.kind) {
        case "unplaced":
            return failure.refusal.kind;
        case "refused":
            return failure.full ? "overloaded" : "no-endpoint";
        case "unreached":
            return "no-endpoint";
        case "failed":
        case "died":
        case "silent":
        case "gap":
        case "crossed":
            return "endpoint-failed";
    }
};

const refusalFor = (request: RequestState, failure: TryFailure): Refusal => {
    const kind = errorKindOf(request, failure);
    const base = "refusal" in failure && failure.refusal.kind === kind ? failure.refusal : refusalOf(kind);
    return { ...base, ran: request.next > 0 ? "yes" : request.ran };
};

/**
 * Decides, after a try has failed, whether the caller is answered now or the request is retried.
 *
 * - A request that may not be repeated must not run twice: it is retried only while no try can have run.
 * - A caller must not receive "not run" for a request of which an earlier try ran: `ran` never decreases.
 * - Retries must not multiply the load on the remaining endpoints: each one takes a token from the budget, except in
 *   place of a try that reached no endpoint.
 * - A request that no endpoint will serve must not be kept waiting: it is answered as soon as a retry is ruled out.
 *
 * @param before state of the request when the try began
 * @param failure how the try ended
 * @param budget remaining retries, shared with other requests
 * @param limits limits of the request's route, if it has its own
 */
export function planAfterFailure(
    before: RequestState,
    failure: TryFailure,
    budget: RetryBudget,
    now: Millis,
    limits: RetryLimits = { maxTries: MAX_TRIES },
): RetryPlan {
    const request: RequestState = { ...before, ran: maxRan(before.ran, ranOf(failure)) };
    const refusal = refusalFor(request, failure);
    if (failure.kind === "stopped" || failure.kind === "unplaced" || !answerOf(refusal.kind).retried) {
        const isFinal = failure.kind === "stopped" || failure.kind === "unplaced";
        return { kind: "answer", refusal, reason: isFinal ? "final" : "not-repeatable" };
    }
    if (!request.repeatable && request.ran !== "no") {
        return { kind: "answer", refusal, reason: "not-repeatable" };
    }
    if (request.tries >= limits.maxTries) {
        return { kind: "answer", refusal, reason: "tries" };
    }
    if (request.next === 0 && now >= request.deadline) {
        const lateRefusal = request.ran === "no" ? refusalOf("deadline-exceeded") : refusal;
        return { kind: "answer", refusal: lateRefusal, reason: "deadline" };
    }
    const remaining = failure.kind === "unreached" ? budget : spendRetry(budget);
    return remaining === undefined
        ? { kind: "answer", refusal, reason: "budget" }
        : { kind: "retry", from: request.next, request, budget: remaining };
}
