import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";

const MS_PER_SECOND = 1_000;
const MIN_RETRY_SECONDS = 1;
const MAX_RETRY_SECONDS = 60;

/** Inputs for the decision whether a request can start in time. */
type StartForecast = {
    readonly now: Millis;
    readonly deadline: Millis;
    /** Estimated wait in the daemon's queue. */
    readonly queueWait: Millis;
    /** Estimated wait at the best endpoint, without the daemon's queue. */
    readonly endpointWait: Millis;
};

/**
 * Refuses a request that cannot start by its deadline. It is refused at once rather than near the deadline, so that its
 * caller still has time to try elsewhere.
 *
 * @returns undefined if it can start in time; otherwise a refusal whose Retry-After is the time by which the estimated
 *          wait exceeds the deadline
 */
export function refusalFor(forecast: StartForecast): Refusal | undefined {
    const remaining = forecast.deadline - forecast.now;
    const wait = forecast.queueWait + forecast.endpointWait;
    if (remaining <= 0) {
        return refusalOf("deadline-exceeded");
    }
    if (wait <= remaining) {
        return undefined;
    }
    const seconds = Math.ceil((wait - remaining) / MS_PER_SECOND);
    const retryAfterSeconds = Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
    return refusalOf("overloaded", undefined, { retryAfterSeconds });
}
