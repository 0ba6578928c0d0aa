import type { Incarnation, Millis, Step } from "@azureshunt/core";

import type { EndpointEffect } from "./EndpointEffect.js";
import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointState } from "./EndpointState.js";
import type { LoadReport } from "./LoadReport.js";
import type { OtherDispatch } from "./OtherDispatch.js";
import { prefillSamples } from "./prefillSamples.js";
import { recordOwnLoad } from "./recordOwnLoad.js";
import { retryAt } from "./retryAt.js";
import { roundTripOf } from "./roundTripOf.js";

type EndpointStep = Step<EndpointState, EndpointEffect>;
type EventOf<Kind extends EndpointEvent["kind"]> = Extract<EndpointEvent, { readonly kind: Kind; }>;

/** Failures older than this are forgotten. */
const FAILURE_WINDOW_MS = 60_000;
const MAX_FAILURES = 16;
/** Work sent elsewhere is remembered until any report contains it. */
const OTHERS_MS = 3_000;
const SAME_FAILURE_MS = 250;
const MAX_SAMPLES = 15;

const step = (state: EndpointState, effects: readonly EndpointEffect[] = []): EndpointStep => ({ state, effects });

const lastOf = <Item>(items: readonly Item[]): readonly Item[] => items.slice(-MAX_SAMPLES);

/** One crash breaks many streams at the same moment; they count as one failure. */
function withFailure(state: EndpointState, now: Millis): EndpointState {
    const recent = state.failures.filter(at => at > now - FAILURE_WINDOW_MS);
    const isSame = now - (recent.at(-1) ?? -Infinity) < SAME_FAILURE_MS;
    return { ...state, health: "down", failures: isSame ? recent : [...recent, now].slice(-MAX_FAILURES) };
}

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

function withOther(
    state: EndpointState,
    event: EventOf<"dispatched-elsewhere">,
    now: Millis,
): readonly OtherDispatch[] {
    const { prefillTokens, sentAt } = event;
    return [...state.others.filter(each => each.sentAt > now - OTHERS_MS), { prefillTokens, sentAt }];
}

function dispatched(state: EndpointState, event: EventOf<"dispatched">, now: Millis): EndpointStep {
    const { dispatchId, prefillTokens, backlogTokens } = event;
    const entry = { dispatchId, prefillTokens, backlogTokens, dispatchedAt: now };
    const added = { ...entry, accepted: false, startedAt: undefined };
    return step(recordOwnLoad({ ...state, inFlight: [...state.inFlight, added] }, now));
}

function accepted(state: EndpointState, event: EventOf<"accepted">, now: Millis): EndpointStep {
    const dispatch = state.inFlight.find(each => each.dispatchId === event.dispatchId);
    if (dispatch === undefined || dispatch.accepted) {
        return step(state);
    }
    const observed = observeRun(state, event.incarnation, dispatch.dispatchedAt, now);
    const known = { ...dispatch, accepted: true, prefillTokens: event.prefillTokens ?? dispatch.prefillTokens };
    const inFlight = state.inFlight.map(each => each === dispatch ? known : each);
    return step(recordOwnLoad({ ...observed.state, inFlight }, now), observed.effects);
}

function firstToken(state: EndpointState, event: EventOf<"first-token">, now: Millis): EndpointStep {
    const dispatch = state.inFlight.find(each => each.dispatchId === event.dispatchId);
    if (dispatch === undefined || dispatch.startedAt !== undefined) {
        return step(state);
    }
    const sample = prefillSamples(dispatch, now - dispatch.dispatchedAt - roundTripOf(state), now);
    const inFlight = state.inFlight.map(each => each === dispatch ? { ...each, startedAt: now } : each);
    const next = { ...state, inFlight, prefillSamples: lastOf([...state.prefillSamples, ...sample]) };
    const effects = sample.map(({ msPerToken }) => ({ kind: "share-speed" as const, msPerToken }));
    return step(recordOwnLoad(next, now), effects);
}

const durationOf = (state: EndpointState, event: EventOf<"ended">, now: Millis): readonly Millis[] =>
    state.inFlight.filter(each => each.dispatchId === event.dispatchId).map(each => now - each.dispatchedAt);

function ended(state: EndpointState, event: EventOf<"ended">, now: Millis): EndpointStep {
    const inFlight = state.inFlight.filter(each => each.dispatchId !== event.dispatchId);
    const without = recordOwnLoad({ ...state, inFlight }, now);
    switch (event.outcome) {
        case "died":
            return step(withFailure(without, now), [{ kind: "probe" }]);
        case "refused":
            return step(without, [{ kind: "probe" }]);
        case "complete":
            return step({ ...without, durations: lastOf([...state.durations, ...durationOf(state, event, now)]) });
        case "cancelled":
            return step(without);
    }
}

/** Requests wait for the engine's next step even when it is not full; only several reports in a row tell that it is. */
function fullnessAfter(state: EndpointState, report: LoadReport): Pick<EndpointState, "maxRunning" | "fullReports"> {
    const maxRunning = Math.max(state.maxRunning, report.running);
    const isFull = report.waiting > 0 && report.running === maxRunning;
    const before = maxRunning > state.maxRunning ? 0 : state.fullReports;
    return { maxRunning, fullReports: isFull ? before + 1 : 0 };
}

function loadReported(state: EndpointState, event: EventOf<"load-reported">, now: Millis): EndpointStep {
    const { report } = event;
    const observed = observeRun(state, report.incarnation, event.askedAt, now);
    if (!isOfCurrentRun(observed.state, report.incarnation)) {
        return observed;
    }
    return step({ ...observed.state, report, ...fullnessAfter(observed.state, report) }, observed.effects);
}

function stateReported(state: EndpointState, event: EventOf<"state-reported">, now: Millis): EndpointStep {
    const observed = observeRun(state, event.incarnation, event.askedAt, now);
    if (!isOfCurrentRun(observed.state, event.incarnation)) {
        return observed;
    }
    const { ready, holds } = event;
    const effects = observed.effects.filter(effect => effect.kind !== "probe");
    const health = now >= retryAt(state.failures) ? "up" : "down";
    return step({ ...observed.state, health, ready, holds }, effects);
}

/** Applies one event to an endpoint. */
export function stepEndpoint(state: EndpointState, event: EndpointEvent, now: Millis): EndpointStep {
    switch (event.kind) {
        case "declared":
            return step({ ...state, url: event.url, failureDomain: event.failureDomain, leaving: event.leaving });
        case "dispatched":
            return dispatched(state, event, now);
        case "accepted":
            return accepted(state, event, now);
        case "first-token":
            return firstToken(state, event, now);
        case "ended":
            return ended(state, event, now);
        case "load-reported":
            return loadReported(state, event, now);
        case "state-reported":
            return stateReported(state, event, now);
        case "dispatched-elsewhere":
            return step({ ...state, others: withOther(state, event, now) });
        case "speed-observed":
            return step({
                ...state,
                prefillSamples: lastOf([...state.prefillSamples, { at: now, msPerToken: event.msPerToken }]),
            });
        case "round-trip":
            return step({ ...state, roundTrips: lastOf([...state.roundTrips, event.ms]) });
        case "probe-failed":
            return step(state.health === "down" ? state : withFailure(state, now));
    }
}
