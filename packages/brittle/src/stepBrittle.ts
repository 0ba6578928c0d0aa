import type { EndpointName, Millis } from "@azureshunt/core";

import type { BrittleEvent } from "./BrittleEvent.js";
import type { BrittleState } from "./BrittleState.js";
import { brittleTiming } from "./brittleTiming.js";
import { refusalsPerSecond } from "./refusalsPerSecond.js";
import { secondOf } from "./secondOf.js";

const SECOND_MS: Millis = 1_000;
/** Time in which the fraction changes by `DECREASE` or `INCREASE`: about as long as the load of peers takes to arrive. */
const ADJUST_MS: Millis = 500;
/** Part of its slots from which on an endpoint counts as full. */
const FULL_FRACTION = 0.8;
const DECREASE = 0.6;
const INCREASE = 0.1;
const MIN_FRACTION = 0.05;

const triesAt = (state: BrittleState, endpoint: EndpointName) =>
    state.tries.get(endpoint) ?? { second: -1, riskyTries: 0, pausedUntil: -Infinity, fraction: 1, seenAt: -Infinity };

const withTries = (state: BrittleState, endpoint: EndpointName, tries: ReturnType<typeof triesAt>): BrittleState => ({
    ...state,
    tries: new Map([...state.tries, [endpoint, tries]]),
});

/**
 * Applies an event. After a refusal, this VM leaves the endpoint alone for at least as long as it takes until it may cause
 * the next one; the random part keeps VMs that were refused together from returning together.
 */
export function stepBrittle(state: BrittleState, event: BrittleEvent, now: Millis): BrittleState {
    switch (event.kind) {
        case "announced":
            return { ...state, maxRefusals: event.maxRefusals, announcedAt: now };
        case "load": {
            const tries = triesAt(state, event.endpoint);
            const intervals = Math.min(1, (now - tries.seenAt) / ADJUST_MS);
            const fraction = event.running >= event.slots * FULL_FRACTION
                ? Math.max(MIN_FRACTION, tries.fraction * DECREASE ** intervals)
                : Math.min(1, tries.fraction + INCREASE * intervals);
            return withTries(state, event.endpoint, { ...tries, fraction, seenAt: now });
        }
        case "risky-try": {
            const tries = triesAt(state, event.endpoint);
            const second = secondOf(now);
            const riskyTries = (tries.second === second ? tries.riskyTries : 0) + 1;
            return withTries(state, event.endpoint, { ...tries, second, riskyTries });
        }
        case "refused": {
            const tries = triesAt(state, event.endpoint);
            const meanMs = SECOND_MS / refusalsPerSecond(state, event.vms);
            const pauseMs = Math.min(brittleTiming.maxPauseMs, Math.max(brittleTiming.minPauseMs, meanMs)) *
                (1 + event.random);
            return withTries(state, event.endpoint, { ...tries, pausedUntil: now + pauseMs });
        }
    }
}
