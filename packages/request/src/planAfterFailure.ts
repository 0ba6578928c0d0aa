import { answerOf, refusalOf } from "@azureshunt/core";
import type { ErrorKind, Millis, Ran, Refusal } from "@azureshunt/core";

import { MAX_TRIES } from "./MAX_TRIES.js";
import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { RetryPlan } from "./RetryPlan.js";
import { spendRetry } from "./spendRetry.js";
import type { TryFailure } from "./TryFailure.js";

/** What bounds one request's tries. */
type RetryLimits = { readonly maxTries: number; };

const CERTAINTY: Readonly<Record<Ran, number>> = { no: 0, maybe: 1, yes: 2 };

const either = (a: Ran, b: Ran): Ran => (CERTAINTY[a] >= CERTAINTY[b] ? a : b);

const ranIn = (failure: TryFailure): Ran => {
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

const kindOf = (request: RequestState, failure: TryFailure): ErrorKind => {
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
    const kind = kindOf(request, failure);
    const base = "refusal" in failure && failure.refusal.kind === kind ? failure.refusal : refusalOf(kind);
    return { ...base, ran: request.next > 0 ? "yes" : request.ran };
};

/**
 * Decides, after a try has failed, whether the caller is answered now or another endpoint is tried.
 *
 * Failures guarded against: a request that may not be repeated runs twice (it is tried again only while no try can have
 * run); a caller is told "not run" about a request of which an earlier try ran (`ran` never goes back); retries multiply
 * the load on what is left of a fleet (budget); a request that nobody will serve any more is held (it is answered as soon
 * as a further try is ruled out).
 *
 * @param before the request as it stood when the try began
 * @param failure how the try ended
 * @param budget tries that this daemon may still make beyond first ones
 * @param limits tries of this request at most, where a route has a limit of its own
 */
export function planAfterFailure(
    before: RequestState,
    failure: TryFailure,
    budget: RetryBudget,
    now: Millis,
    limits: RetryLimits = { maxTries: MAX_TRIES },
): RetryPlan {
    const request: RequestState = { ...before, ran: either(before.ran, ranIn(failure)) };
    const refusal = refusalFor(request, failure);
    if (failure.kind === "stopped" || failure.kind === "unplaced" || !answerOf(refusal.kind).retried) {
        const final = failure.kind === "stopped" || failure.kind === "unplaced";
        return { kind: "answer", refusal, reason: final ? "final" : "not-repeatable" };
    }
    if (!request.repeatable && request.ran !== "no") {
        return { kind: "answer", refusal, reason: "not-repeatable" };
    }
    if (request.tries >= limits.maxTries) {
        return { kind: "answer", refusal, reason: "tries" };
    }
    if (request.next === 0 && now >= request.deadline) {
        const late = request.ran === "no" ? refusalOf("deadline-exceeded") : refusal;
        return { kind: "answer", refusal: late, reason: "deadline" };
    }
    const left = spendRetry(budget);
    return left === undefined
        ? { kind: "answer", refusal, reason: "budget" }
        : { kind: "retry", from: request.next, request, budget: left };
}
