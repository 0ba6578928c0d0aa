import type { Incarnation, Millis, Step } from "@azureshunt/core";

import type { EndpointEffect } from "./EndpointEffect.js";
import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointState } from "./EndpointState.js";
import { prefillSample } from "./prefillSample.js";
import { recordOwnLoad } from "./recordOwnLoad.js";

type EndpointStep = Step<EndpointState, EndpointEffect>;
type EventOf<Kind extends EndpointEvent["kind"]> = Extract<EndpointEvent, { readonly kind: Kind; }>;

/** Failures older than this are forgotten. */
const FAILURE_WINDOW_MS = 60_000;
const MAX_FAILURES = 16;
const MAX_SAMPLES = 15;

const step = (state: EndpointState, effects: readonly EndpointEffect[] = []): EndpointStep => ({ state, effects });

const withFailure = (state: EndpointState, now: Millis): EndpointState => ({
    ...state,
    health: "down",
    failures: [...state.failures.filter(at => at > now - FAILURE_WINDOW_MS), now].slice(-MAX_FAILURES),
});

/**
 * Takes note of the run that answered. An answer asked for before the current run was first seen may come from the run
 * before it, held up on the way: it must not bring that one back, or entries of a dead engine would match again.
 */
function observeRun(
    state: EndpointState,
    incarnation: Incarnation | undefined,
    askedAt: Millis,
    now: Millis,
): EndpointStep {
    if (incarnation === undefined || incarnation === state.incarnation || askedAt < state.incarnationSeenAt) {
        return step(state);
    }
    const fresh = { ...state, incarnation, incarnationSeenAt: now, report: undefined, holds: [], ready: false };
    return step(fresh, [{ kind: "begin-cache", incarnation }, { kind: "probe" }]);
}

const isOfCurrentRun = (state: EndpointState, incarnation: Incarnation | undefined): boolean =>
    incarnation === state.incarnation;

function dispatched(state: EndpointState, event: EventOf<"dispatched">, now: Millis): EndpointStep {
    const { dispatchId, prefillTokens, expectedWait } = event;
    const added = { dispatchId, prefillTokens, expectedWait, dispatchedAt: now, startedAt: undefined };
    return step(recordOwnLoad({ ...state, inFlight: [...state.inFlight, added] }, now));
}

function started(state: EndpointState, event: EventOf<"started">, now: Millis): EndpointStep {
    const dispatch = state.inFlight.find(each => each.dispatchId === event.dispatchId);
    if (dispatch === undefined || dispatch.startedAt !== undefined) {
        return step(state);
    }
    const observed = observeRun(state, event.incarnation, dispatch.dispatchedAt, now);
    const sample = prefillSample(dispatch, event.computedTokens, now - dispatch.dispatchedAt - event.networkMs);
    const inFlight = state.inFlight.map(each => each === dispatch ? { ...each, startedAt: now } : each);
    const prefillSamples = [...state.prefillSamples, ...sample].slice(-MAX_SAMPLES);
    return step(recordOwnLoad({ ...observed.state, inFlight, prefillSamples }, now), observed.effects);
}

function ended(state: EndpointState, event: EventOf<"ended">, now: Millis): EndpointStep {
    const inFlight = state.inFlight.filter(each => each.dispatchId !== event.dispatchId);
    const without = recordOwnLoad({ ...state, inFlight }, now);
    switch (event.outcome) {
        case "died":
            return step(withFailure(without, now), [{ kind: "probe" }]);
        case "refused":
            return step(without, [{ kind: "probe" }]);
        case "complete":
        case "cancelled":
            return step(without);
    }
}

function loadReported(state: EndpointState, event: EventOf<"load-reported">, now: Millis): EndpointStep {
    const { report } = event;
    const observed = observeRun(state, report.incarnation, event.askedAt, now);
    if (!isOfCurrentRun(observed.state, report.incarnation)) {
        return observed;
    }
    const slots = report.waiting > 0 ? Math.max(state.slots ?? 0, report.running) : state.slots;
    return step({ ...observed.state, report, slots }, observed.effects);
}

function stateReported(state: EndpointState, event: EventOf<"state-reported">, now: Millis): EndpointStep {
    const observed = observeRun(state, event.incarnation, event.askedAt, now);
    if (!isOfCurrentRun(observed.state, event.incarnation)) {
        return observed;
    }
    const { ready, holds } = event;
    const effects = observed.effects.filter(effect => effect.kind !== "probe");
    return step({ ...observed.state, health: "up", ready, holds }, effects);
}

/** Applies one event to an endpoint. */
export function stepEndpoint(state: EndpointState, event: EndpointEvent, now: Millis): EndpointStep {
    switch (event.kind) {
        case "declared":
            return step({ ...state, url: event.url, failureDomain: event.failureDomain, leaving: event.leaving });
        case "dispatched":
            return dispatched(state, event, now);
        case "started":
            return started(state, event, now);
        case "ended":
            return ended(state, event, now);
        case "load-reported":
            return loadReported(state, event, now);
        case "state-reported":
            return stateReported(state, event, now);
        case "probe-failed":
            return step(withFailure(state, now));
    }
}
