import type { Incarnation, Millis, Step } from "@azureshunt/core";

import type { EndpointEffect } from "./EndpointEffect.js";
import type { EndpointEvent } from "./EndpointEvent.js";
import type { EndpointState } from "./EndpointState.js";
import type { LoadReport } from "./LoadReport.js";
import type { PeerDispatch } from "./PeerDispatch.js";
import { prefillSamples } from "./prefillSamples.js";
import { recordOwnLoad } from "./recordOwnLoad.js";
import { retryAt } from "./retryAt.js";
import { roundTripOf } from "./roundTripOf.js";

type EndpointStep = Step<EndpointState, EndpointEffect>;
type EventOf<Kind extends EndpointEvent["kind"]> = Extract<EndpointEvent, { readonly kind: Kind; }>;

/** Failures older than this are forgotten. */
const FAILURE_WINDOW_MS = 60_000;
const MAX_FAILURES = 16;
/** Dispatches of peers are kept until any usable report includes them. */
const PEER_DISPATCH_TTL_MS = 3_000;
const SAME_FAILURE_MS = 250;
const MAX_SAMPLES = 15;

const step = (state: EndpointState, effects: readonly EndpointEffect[] = []): EndpointStep => ({ state, effects });

const lastOf = <Item>(items: readonly Item[]): readonly Item[] => items.slice(-MAX_SAMPLES);

/** Records a failure. Failures within `SAME_FAILURE_MS` count once, as one crash breaks many streams at a time. */
function withFailure(state: EndpointState, now: Millis): EndpointState {
    const recent = state.failures.filter(at => at > now - FAILURE_WINDOW_MS);
    const isSame = now - (recent.at(-1) ?? -Infinity) < SAME_FAILURE_MS;
    return { ...state, health: "down", failures: isSame ? recent : [...recent, now].slice(-MAX_FAILURES) };
}

/**
 * Records the incarnation that answered. An answer to a request sent before the current incarnation was first seen may
 * be a delayed one of the previous incarnation. It must not restore that incarnation, or entries of a dead engine would
 * match again.
 */
function observeIncarnation(
    state: EndpointState,
    incarnation: Incarnation | undefined,
    requestedAt: Millis,
    now: Millis,
): EndpointStep {
    if (incarnation === undefined || incarnation === state.incarnation || requestedAt < state.incarnationSeenAt) {
        return step(state);
    }
    const restarted = { ...state, incarnation, incarnationSeenAt: now, report: undefined, holds: [], ready: false };
    return step(restarted, [{ kind: "begin-cache", incarnation }, { kind: "probe" }]);
}

const isOfCurrentIncarnation = (state: EndpointState, incarnation: Incarnation | undefined): boolean =>
    incarnation === state.incarnation;

function withPeerDispatch(
    state: EndpointState,
    event: EventOf<"dispatched-elsewhere">,
    now: Millis,
): readonly PeerDispatch[] {
    const { prefillTokens, sentAt } = event;
    return [...state.peerDispatches.filter(each => each.sentAt > now - PEER_DISPATCH_TTL_MS), {
        prefillTokens,
        sentAt,
    }];
}

function dispatched(state: EndpointState, event: EventOf<"dispatched">, now: Millis): EndpointStep {
    const { dispatchId, prefillTokens, backlogTokens } = event;
    const entry = { dispatchId, prefillTokens, backlogTokens, dispatchedAt: now };
    const added = { ...entry, accepted: false, firstTokenAt: undefined };
    return step(recordOwnLoad({ ...state, inFlight: [...state.inFlight, added] }, now));
}

function accepted(state: EndpointState, event: EventOf<"accepted">, now: Millis): EndpointStep {
    const dispatch = state.inFlight.find(each => each.dispatchId === event.dispatchId);
    if (dispatch === undefined || dispatch.accepted) {
        return step(state);
    }
    const observed = observeIncarnation(state, event.incarnation, dispatch.dispatchedAt, now);
    const confirmed = { ...dispatch, accepted: true, prefillTokens: event.prefillTokens ?? dispatch.prefillTokens };
    const inFlight = state.inFlight.map(each => each === dispatch ? confirmed : each);
    return step(recordOwnLoad({ ...observed.state, inFlight }, now), observed.effects);
}

function firstToken(state: EndpointState, event: EventOf<"first-token">, now: Millis): EndpointStep {
    const dispatch = state.inFlight.find(each => each.dispatchId === event.dispatchId);
    if (dispatch === undefined || dispatch.firstTokenAt !== undefined) {
        return step(state);
    }
    const sample = prefillSamples(dispatch, now - dispatch.dispatchedAt - roundTripOf(state), now);
    const inFlight = state.inFlight.map(each => each === dispatch ? { ...each, firstTokenAt: now } : each);
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

/**
 * Counts consecutive full reports. Requests also wait for the next step of an engine that is not full, so a single
 * report does not show that it is full.
 */
function fullnessAfter(
    state: EndpointState,
    report: LoadReport,
): Pick<EndpointState, "maxRunning" | "consecutiveFullReports"> {
    const maxRunning = Math.max(state.maxRunning, report.running);
    const isFull = report.waiting > 0 && report.running === maxRunning;
    const countBefore = maxRunning > state.maxRunning ? 0 : state.consecutiveFullReports;
    return { maxRunning, consecutiveFullReports: isFull ? countBefore + 1 : 0 };
}

function loadReported(state: EndpointState, event: EventOf<"load-reported">, now: Millis): EndpointStep {
    const { report } = event;
    const observed = observeIncarnation(state, report.incarnation, event.requestedAt, now);
    if (!isOfCurrentIncarnation(observed.state, report.incarnation)) {
        return observed;
    }
    return step({ ...observed.state, report, ...fullnessAfter(observed.state, report) }, observed.effects);
}

function stateReported(state: EndpointState, event: EventOf<"state-reported">, now: Millis): EndpointStep {
    const observed = observeIncarnation(state, event.incarnation, event.requestedAt, now);
    if (!isOfCurrentIncarnation(observed.state, event.incarnation)) {
        return observed;
    }
    const { ready, holds } = event;
    const effects = observed.effects.filter(effect => effect.kind !== "probe");
    const health = now >= retryAt(state.failures) ? "up" : "down";
    return step({ ...observed.state, health, ready, holds }, effects);
}

/** Applies an event to an endpoint and returns its next state and the effects to perform. */
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
            return step({ ...state, peerDispatches: withPeerDispatch(state, event, now) });
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
