import type { Clock, Millis } from "@azureshunt/core";

import type { EndpointObservations } from "./EndpointObservations.js";
import type { EndpointTable } from "./EndpointTable.js";
import { healthAfterTry } from "./healthAfterTry.js";
import type { InFlight } from "./InFlight.js";
import type { InFlightHandle } from "./InFlightHandle.js";
import { isOvertakenBy } from "./isOvertakenBy.js";

type TrackingParts = {
    readonly clock: Clock;
    /** Undefined if the endpoint has left since it was chosen. */
    readonly observed: EndpointObservations | undefined;
    readonly sizes: Parameters<EndpointTable["beginRequest"]>[1];
    /** Called when the outcome of the try starts or extends the endpoint's backoff, with the values to log. */
    readonly onBackoff: (inputs: object) => void;
};

/** An endpoint with activity within this time is busy; it has not stopped responding. */
const ACTIVE_WITHIN_MS: Millis = 400;

/** Tracks a request at an endpoint, from sending to end. */
export function trackInFlight({ clock, observed, sizes, onBackoff }: TrackingParts): InFlightHandle {
    const sentAt = clock.now();
    const { expectedMs, ...tokens } = sizes;
    const order = { isOvertaken: false };
    const request: { current: InFlight; } = {
        current: { sentAt, expectedAt: sentAt + expectedMs, ...tokens, isAnswering: false, order },
    };
    const replace = (next: InFlight | undefined): void => {
        if (observed !== undefined) {
            const others = observed.inFlight.filter(each => each !== request.current);
            observed.inFlight = next === undefined ? others : [...others, next];
            request.current = next ?? request.current;
        }
    };
    replace(request.current);
    return {
        onReached: () => {
            if (observed !== undefined) {
                observed.isReached = true;
                observed.health = { ...observed.health, unreachedInRow: 0 };
            }
        },
        answerStarted: () => {
            replace({ ...request.current, isAnswering: true });
            observed?.inFlight.filter(each => isOvertakenBy(each, request.current)).forEach(each => {
                if (each.order !== undefined) {
                    each.order.isOvertaken = true;
                }
            });
        },
        onActivity: now => {
            if (observed !== undefined) {
                observed.lastActivityAt = now;
            }
        },
        isOvertaken: () => order.isOvertaken,
        isAlive: () => observed !== undefined && clock.now() - observed.lastActivityAt < ACTIVE_WITHIN_MS,
        end: outcome => {
            replace(undefined);
            if (observed === undefined) {
                return;
            }
            const { backoffUntil } = observed.health;
            observed.health = healthAfterTry(
                observed.health,
                outcome,
                clock.now(),
                observed.lastActivityAt >= sentAt,
            );
            if (observed.health.backoffUntil > backoffUntil) {
                const { failureRate, unreachedInRow } = observed.health;
                onBackoff({ outcome, failureRate, unreachedInRow });
            }
        },
    };
}
