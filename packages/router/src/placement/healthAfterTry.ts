import type { Millis } from "@azureshunt/core";

import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { EndpointHealth } from "./EndpointHealth.js";

/** Weight of the newest try: after four failures in a row the rate is above two thirds, after four good ones below a quarter. */
const NEWEST = 0.25;
/** First pause of an endpoint that can't be reached, doubled with each further try; a crashed one is back after seconds. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 2_000;
/** Pause after a connection broke in mid-request: the endpoint may have crashed, and nothing says so for seconds. */
const BROKEN_PAUSE_MS = 250;

const towards = (rate: number, sample: number): number => rate + (sample - rate) * NEWEST;

/**
 * Takes the end of a try into an endpoint's health.
 *
 * Load: an endpoint dies or fails part of its work while its health check is good. A dead one is left alone for a
 * pause that doubles and is then tried by single requests; one that fails in part keeps a part of the work, as its
 * failure rate is weighed against the others' queues.
 */
export function healthAfterTry(health: EndpointHealth, outcome: TryOutcome, now: Millis): EndpointHealth {
    switch (outcome) {
        case "answered":
            return { failureRate: towards(health.failureRate, 0), unreachedInRow: 0, downUntil: health.downUntil };
        case "refused":
        case "elsewhere":
        case "cancelled":
        case "moved":
            return { ...health, unreachedInRow: 0 };
        case "unreached": {
            const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** health.unreachedInRow);
            return { ...health, unreachedInRow: health.unreachedInRow + 1, downUntil: now + pause };
        }
        case "broken":
        case "silent":
            return {
                ...health,
                failureRate: towards(health.failureRate, 1),
                downUntil: Math.max(health.downUntil, now + BROKEN_PAUSE_MS),
            };
        case "failed":
        case "garbled":
            return { ...health, failureRate: towards(health.failureRate, 1) };
    }
}
