import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";

const MS_PER_SECOND = 1_000;
const MIN_RETRY_SECONDS = 1;
const MAX_RETRY_SECONDS = 60;

/** What is known about when a request could start. */
type StartForecast = {
    readonly now: Millis;
    readonly deadline: Millis;
    /** Estimated milliseconds in the daemon's queue. */
    readonly queueWait: Millis;
    /** Estimated milliseconds at the best endpoint before it begins, with nothing queued here. */
    readonly endpointWait: Millis;
};

/**
 * Refuses a request that cannot start by its deadline, at once rather than near the deadline, so that its caller can
 * turn elsewhere while there is time.
 *
 * @returns undefined when it can start in time; else a refusal whose Retry-After is when the excess will be worked off
 */
export function refusalFor(forecast: StartForecast): Refusal | undefined {
    const left = forecast.deadline - forecast.now;
    const wait = forecast.queueWait + forecast.endpointWait;
    if (left <= 0) {
        return refusalOf("deadline-exceeded");
    }
    if (wait <= left) {
        return undefined;
    }
    const seconds = Math.ceil((wait - left) / MS_PER_SECOND);
    const retryAfterSeconds = Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
    return refusalOf("overloaded", undefined, { retryAfterSeconds });
}
