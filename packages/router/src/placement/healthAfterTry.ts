import type { Millis } from "@azureshunt/core";

import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { EndpointHealth } from "./EndpointHealth.js";

/**
 * Weight of the newest try: four failures in a row raise the rate above 2/3; four successes then bring it below 1/4.
 */
const NEWEST_WEIGHT = 0.25;
/**
 * First backoff of an unreachable endpoint, doubled with each further try. A crashed endpoint is back after seconds.
 */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/**
 * Backoff after a connection broke during a request: the endpoint may have crashed, which nothing reports for seconds.
 */
const BROKEN_BACKOFF_MS = 250;

const movingAverage = (rate: number, sample: number): number => rate + (sample - rate) * NEWEST_WEIGHT;

/**
 * Updates an endpoint's health with the outcome of a try.
 *
 * An endpoint may die or fail part of its requests while its health check passes. A dead endpoint gets no requests for
 * a backoff that doubles, and is then tried by single requests. One that fails some requests keeps part of the load, as
 * its failure rate is weighed against the queues of the others.
 *
 * A sound endpoint may be silent for a second and go on. If that raised its failure rate, it would get no requests long
 * after, as only answers lower the rate. So silence counts as a failure only of an endpoint that answered others
 * meanwhile; one that was silent to all gets a backoff.
 *
 * @param wasActive whether the endpoint sent anything to this VM during the try
 */
export function healthAfterTry(
    health: EndpointHealth,
    outcome: TryOutcome,
    now: Millis,
    wasActive: boolean,
): EndpointHealth {
    switch (outcome) {
        case "answered":
            return {
                failureRate: movingAverage(health.failureRate, 0),
                unreachedInRow: 0,
                backoffUntil: health.backoffUntil,
            };
        case "withheld":
            return health;
        case "refused":
        case "elsewhere":
        case "cancelled":
        case "moved":
            return { ...health, unreachedInRow: 0 };
        case "unreached": {
            const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** health.unreachedInRow);
            return { ...health, unreachedInRow: health.unreachedInRow + 1, backoffUntil: now + backoffMs };
        }
        case "broken":
        case "silent":
            return {
                ...health,
                failureRate: outcome === "silent" && !wasActive
                    ? health.failureRate
                    : movingAverage(health.failureRate, 1),
                backoffUntil: Math.max(health.backoffUntil, now + BROKEN_BACKOFF_MS),
            };
        case "failed":
        case "garbled":
            return { ...health, failureRate: movingAverage(health.failureRate, 1) };
    }
}
