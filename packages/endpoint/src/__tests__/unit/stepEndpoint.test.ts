import {
    AdapterName,
    DispatchId,
    EndpointName,
    FailureDomain,
    Incarnation,
    ModelName,
    WeightsVersion,
} from "@azureshunt/core";
import test from "ava";

import type { EndpointEvent } from "../../state/EndpointEvent.js";
import type { EndpointState } from "../../state/EndpointState.js";
import { isEligible } from "../../state/isEligible.js";
import { loadOf } from "../../state/loadOf.js";
import { newEndpoint } from "../../state/newEndpoint.js";
import { prefillRates } from "../../state/prefillRates.js";
import { slotsOf } from "../../state/slotsOf.js";
import { stepEndpoint } from "../../state/stepEndpoint.js";

type Timed = { readonly at: number; readonly event: EndpointEvent; };

const INCARNATION_A = Incarnation.parse("run-a");
const INCARNATION_B = Incarnation.parse("run-b");
const MODEL = ModelName.parse("advisor");
const V1 = WeightsVersion.parse("v1");
const V2 = WeightsVersion.parse("v2");
const HELD = [{ model: MODEL, adapter: undefined, version: V1 }];
const WANTED = { model: MODEL, adapter: undefined, version: V1 };
const DOMAIN = FailureDomain.parse("fd-1");
const URL = "http://127.0.0.1:1";
const FRESH = newEndpoint(EndpointName.parse("engine-1"), DOMAIN, URL, false);

const run = (state: EndpointState, events: readonly Timed[]) =>
    events.reduce((current, { at, event }) => stepEndpoint(current, event, at).state, state);
const state = (at: number, incarnation = INCARNATION_A, requestedAt = at, ready = true): Timed => ({
    at,
    event: { kind: "state-reported", incarnation, ready, holds: HELD, requestedAt },
});
const load = (at: number, running: number, waiting: number, waitingTokens: number, measuredAt = at): Timed => ({
    at,
    event: {
        kind: "load-reported",
        report: { incarnation: INCARNATION_A, running, waiting, waitingTokens, measuredAt },
        requestedAt: at,
    },
});
const dispatch = (at: number, id: string, prefillTokens: number, backlogTokens = 0): Timed => ({
    at,
    event: { kind: "dispatched", dispatchId: DispatchId.parse(id), prefillTokens, backlogTokens },
});
const accept = (at: number, id: string, incarnation = INCARNATION_A, prefillTokens?: number): Timed => ({
    at,
    event: { kind: "accepted", dispatchId: DispatchId.parse(id), incarnation, prefillTokens },
});
const start = (at: number, id: string): Timed => ({
    at,
    event: { kind: "first-token", dispatchId: DispatchId.parse(id) },
});
const announce = (sentAt: number, prefillTokens: number): Timed => ({
    at: sentAt,
    event: { kind: "dispatched-elsewhere", prefillTokens, sentAt },
});
const probeFailed = (at: number): Timed => ({ at, event: { kind: "probe-failed" } });
const end = (at: number, id: string, outcome: "complete" | "died" | "refused" = "complete"): Timed => ({
    at,
    event: { kind: "ended", dispatchId: DispatchId.parse(id), outcome },
});
const declared = (leaving: boolean): Timed => ({
    at: 9,
    event: { kind: "declared", url: URL, failureDomain: DOMAIN, leaving },
});

[
    { name: "nothing known", events: [], eligible: false },
    { name: "ready", events: [state(0)], eligible: true },
    { name: "not ready", events: [state(0, INCARNATION_A, 0, false)], eligible: false },
    { name: "leaving", events: [state(0), declared(true)], eligible: false },
    { name: "declared as leaving and then not", events: [state(0), declared(true), declared(false)], eligible: true },
    {
        name: "died while running a request",
        events: [state(0), dispatch(1, "d", 1), end(2, "d", "died")],
        eligible: false,
    },
    {
        name: "answered a probe after it died",
        events: [state(0), dispatch(1, "d", 1), end(2, "d", "died"), state(3)],
        eligible: true,
    },
    { name: "refused one request", events: [state(0), dispatch(1, "d", 1), end(2, "d", "refused")], eligible: true },
    { name: "restarted", events: [state(0), dispatch(1, "d", 1), accept(2, "d", INCARNATION_B)], eligible: false },
    {
        name: "keeps failing requests while its probes succeed",
        events: [
            state(0),
            ...[1_000, 2_000, 3_000].flatMap(at => [dispatch(at, `d${at}`, 1), end(at, `d${at}`, "died")]),
        ]
            .concat(state(3_100)),
        eligible: false,
    },
    {
        name: "backoff over after repeated failures",
        events: [
            state(0),
            ...[1_000, 2_000, 3_000].flatMap(at => [dispatch(at, `d${at}`, 1), end(at, `d${at}`, "died")]),
        ]
            .concat(state(4_001)),
        eligible: true,
    },
    {
        name: "one crash that broke several streams counts once",
        events: [state(0), ...["a", "b", "c"].flatMap(id => [dispatch(1, id, 1), end(2, id, "died")]), state(3)],
        eligible: true,
    },
    { name: "failed probes count once", events: [probeFailed(1), probeFailed(900), state(901)], eligible: true },
].forEach(({ name, events, eligible }) =>
    test(`eligible: ${name}`, t => {
        t.is(isEligible(run(FRESH, events), WANTED), eligible);
    })
);

[
    { name: "other weights", wanted: { ...WANTED, version: V2 } },
    { name: "another adapter", wanted: { ...WANTED, adapter: AdapterName.parse("tags") } },
].forEach(({ name, wanted }) =>
    test(`not eligible: request for ${name} than the endpoint holds`, t => {
        t.false(isEligible(run(FRESH, [state(0)]), wanted));
    })
);

test("incarnation: a late answer of the previous incarnation does not restore it", t => {
    // A late answer restores a dead incarnation, and entries of that incarnation match again.
    const restarted = run(FRESH, [state(0), state(20, INCARNATION_B, 15)]);
    const late = stepEndpoint(restarted, state(30, INCARNATION_A, 5).event, 30);
    t.is(late.state.incarnation, INCARNATION_B);
    t.deepEqual(late.effects, []);
});

test("incarnation: a new one resets the cache and triggers a probe, also if a caller's answer shows it first", t => {
    const before = run(FRESH, [state(0), dispatch(1, "d", 100)]);
    const { effects } = stepEndpoint(before, accept(5, "d", INCARNATION_B).event, 5);
    t.deepEqual(effects, [{ kind: "begin-cache", incarnation: INCARNATION_B }, { kind: "probe" }]);
});

[
    { name: "idle", events: [], requests: 0, tokens: 0 },
    { name: "own only", events: [dispatch(10, "a", 100)], requests: 1, tokens: 100 },
    {
        name: "own, after the first token",
        events: [dispatch(10, "a", 100), start(10, "a")],
        requests: 1,
        tokens: 0,
    },
    { name: "other VMs only", events: [load(10, 2, 1, 300)], requests: 3, tokens: 300 },
    {
        name: "a report that includes an own dispatch does not count it twice",
        events: [dispatch(1, "a", 100), load(10, 1, 0, 100)],
        requests: 1,
        tokens: 91,
    },
    {
        name: "a report measured before an own dispatch does not include it",
        events: [dispatch(8, "a", 100), load(10, 2, 0, 50, 5)],
        requests: 3,
        tokens: 143,
    },
    { name: "announced by another VM", events: [announce(10, 500)], requests: 1, tokens: 500 },
    {
        name: "announced by another VM after the report was measured",
        events: [load(9, 1, 0, 40, 5), announce(8, 100)],
        requests: 2,
        tokens: 135,
    },
    {
        name: "announced by another VM before the report was measured, which includes it",
        events: [announce(3, 100), load(9, 1, 0, 40, 5)],
        requests: 1,
        tokens: 35,
    },
].forEach(({ name, events, requests, tokens }) =>
    test(`load: ${name}`, t => {
        t.deepEqual(loadOf(run(FRESH, [state(0), ...events]), 1, 10), { requests, prefillTokens: tokens });
    })
);

test("load: an old report is ignored", t => {
    t.is(loadOf(run(FRESH, [state(0), load(10, 9, 9, 900)]), 1, 5_000).requests, 0);
});

const observed = (at: number, msPerToken: number) => [
    dispatch(at, `d${at}`, 2_000),
    accept(at + 1, `d${at}`, INCARNATION_A, 2_000),
    start(at + 2_000 * msPerToken, `d${at}`),
    end(at + 2_000 * msPerToken, `d${at}`),
];
const seen = (samples: readonly (readonly [number, number])[]) =>
    run(FRESH, [state(0), ...samples.flatMap(([at, msPerToken]) => observed(at, msPerToken))]);

[
    {
        name: "an outlier does not change the median",
        own: seen([[0, 0.1], [300, 2], [4_400, 0.1]]),
        other: FRESH,
        rate: 0.1,
    },
    {
        name: "an engine that has become slower",
        own: seen([[0, 0.1], [1_000, 0.1], [2_000, 0.1], [9_000, 0.2], [9_500, 0.2], [10_000, 0.2]]),
        other: FRESH,
        rate: 0.2,
    },
    {
        name: "too few own samples: uses those of other engines",
        own: seen([[10_000, 0.1]]),
        other: seen([[8_000, 0.3], [9_000, 0.3], [10_000, 0.3]]),
        rate: 0.3,
    },
    { name: "only old samples: uses them", own: seen([[0, 0.1]]), other: FRESH, rate: 0.1 },
    {
        name: "too few own samples: uses those that other VMs observed at the engine",
        own: run(
            FRESH,
            [8, 9, 10].map(second => ({
                at: second * 1_000,
                event: { kind: "speed-observed" as const, msPerToken: 0.4 },
            })),
        ),
        other: FRESH,
        rate: 0.4,
    },
    { name: "no samples: uses the default", own: FRESH, other: FRESH, rate: 0.05 },
].forEach(({ name, own, other, rate }) =>
    test(`rate: ${name}`, t => {
        t.is(prefillRates([own, other], 10_500)[0], rate);
    })
);

test("rate: a dispatch with a large backlog gives no sample", t => {
    const queued = run(FRESH, [state(0), dispatch(0, "d", 2_000, 201), accept(1, "d"), start(1_001, "d")]);
    t.deepEqual(queued.prefillSamples, []);
});

[
    { name: "one report with waiting requests", reports: [[3, 1]], slots: undefined },
    { name: "three full reports in a row", reports: [[24, 1], [24, 2], [24, 5]], slots: 24 },
    {
        name: "three reports with different numbers of running requests",
        reports: [[3, 1], [4, 2], [2, 1]],
        slots: undefined,
    },
    { name: "no longer full", reports: [[24, 1], [24, 2], [24, 5], [20, 0]], slots: undefined },
].forEach(({ name, reports, slots }) =>
    test(`slots: ${name}`, t => {
        const events = reports.map(([running, waiting], i) => load(i, running!, waiting!, 0));
        t.is(slotsOf(run(FRESH, [state(0), ...events])), slots);
    })
);
