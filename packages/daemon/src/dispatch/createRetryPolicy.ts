import { refusalOf } from "@azureshunt/core";
import { earnRetry, fullRetryBudget, planAfterFailure } from "@azureshunt/request";
import type { RequestState, TryFailure } from "@azureshunt/request";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Clock } from "../ports/Clock.js";
import type { Metrics } from "../ports/Metrics.js";
import type { RetryPolicy } from "./RetryPolicy.js";
import type { TryEnd } from "./TryEnd.js";

/** Retries that may happen at once. When an endpoint dies, its whole batch may have to be retried elsewhere. */
const MAX_RETRY_BUDGET = 100;

/** Retries per request in the long run. */
const RETRIES_PER_REQUEST = 0.2;

const isRepeatable = ({ target }: Call): boolean => target.kind === "model" || target.repeatable;

const failureOf = (end: TryEnd, request: RequestState): TryFailure =>
    end.kind === "cancelled"
        ? { kind: "stopped", refusal: refusalOf("caller-gone", undefined, { ran: request.ran }) }
        : end;

/** Creates a retry policy with a retry budget that all requests share. */
export function createRetryPolicy(clock: Clock, metrics: Metrics): RetryPolicy {
    const shared = { budget: fullRetryBudget(MAX_RETRY_BUDGET, RETRIES_PER_REQUEST) };

    const onArrival: RetryPolicy["onArrival"] = call => {
        shared.budget = earnRetry(shared.budget);
        return { repeatable: isRepeatable(call), deadline: call.deadline, tries: 0, next: 0, ran: "no" };
    };
    const afterFailure: RetryPolicy["afterFailure"] = (request, end) => {
        metrics.count("azureshunt_tries_failed_total", "Tries at endpoints that failed, by reason.", {
            reason: end.kind,
        });
        const plan = planAfterFailure(request, failureOf(end, request), shared.budget, clock.now());
        if (plan.kind === "answer") {
            metrics.count("azureshunt_given_up_total", "Requests not tried again after a failed try, by reason.", {
                reason: plan.reason,
            });
            return Left(plan.refusal);
        }
        shared.budget = plan.budget;
        metrics.count("azureshunt_retries_total", "Further tries, by the reason that the try before failed.", {
            reason: end.kind,
            resumed: String(plan.from > 0),
        });
        return Right(plan.request);
    };
    metrics.gauge("azureshunt_retry_budget", "Further tries that may be made at once.", () => shared.budget.balance);
    return { onArrival, afterFailure };
}
