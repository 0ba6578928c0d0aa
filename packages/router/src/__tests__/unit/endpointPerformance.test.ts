import type { EndpointName, ModelName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { choosePlace } from "../../placement/choosePlace.js";
import { createPerformance } from "../../placement/createPerformance.js";
import { estimateStart } from "../../placement/estimateStart.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import { createTickLag } from "../../serve/createTickLag.js";
import { candidateOf } from "../support/candidateOf.js";
import { entryOf } from "../support/entryOf.js";

/** Median error of a predicted start that is asked for, see `weighedWays.test`. */
const MAX_ERROR = 0.15;

const start = (lagMs = 0) => {
    const time = { now: 1_000 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const metrics = createMetrics();
    const performance = createPerformance({ clock, lagMs: () => lagMs, metrics });
    const entries = ["fast", "usual", "slow"].map(name => entryOf(name as EndpointName));
    const candidates = () => entries.map(entry => candidateOf(entry.name, performance.at(entry, undefined, [])));
    const observe = (speeds: readonly number[]): void =>
        entries.forEach((entry, i) => {
            const candidate = candidateOf(entry.name);
            const predictedMs = estimateStart(candidate, time.now).startMs;
            const startMs = predictedMs / (speeds[i] ?? 1);
            performance.observe(entry, {
                candidate,
                model: undefined,
                predictedMs,
                startMs,
                sentAt: time.now,
                outcome: "started",
            });
            time.now += 100;
        });
    Array.from({ length: 10 }).forEach(() => observe([1.7, 1, 0.6]));
    return { time, performance, metrics, entries, candidates };
};

// Guards against placement by one figure for all endpoints.
test("endpoint performance: the fastest endpoint is chosen, and operators see which differ", t => {
    const { time, performance, metrics, entries, candidates } = start();
    t.is(choosePlace(candidates(), time.now, () => 0.5)?.candidate.name, "fast" as EndpointName);
    t.regex(metrics.render(), /azureshunt_endpoint_speed_ratio\{endpoint="fast"\} 1\.[5-7]/);
    t.notRegex(metrics.render(), /speed_ratio\{endpoint="usual"\}/);
    entries.forEach(({ name }) => performance.forget(name));
    t.notRegex(metrics.render(), /speed_ratio\{/);
});

// Guards against a rollout that takes a slower version for as good, because its slowness is expected.
test("endpoint performance: the estimate that versions are compared by does not follow it", t => {
    const { time, candidates } = start();
    const estimates = candidates().map(candidate => estimateStart(candidate, time.now));
    t.is(new Set(estimates.map(({ usualMs }) => usualMs)).size, 1);
    t.true((estimates[2]?.startMs ?? 0) > 1.4 * (estimates[2]?.usualMs ?? 0));
});

// Guards against a VM that takes its own lag for slow endpoints.
test("endpoint performance: nothing is learned while this process runs late", t => {
    const { time, candidates } = start(100);
    t.true(candidates().every(each => estimateStart(each, time.now).startMs === estimateStart(each, time.now).usualMs));
});

test("endpoint performance: an endpoint with an overdue try gets no further request", t => {
    const { time, performance, entries, candidates } = start();
    const [fast] = entries;
    const tried = { sentAt: time.now, expectedAt: time.now + 900, predictedMs: 90, missingTokens: 0, memoryTokens: 0 };
    time.now += 600;
    const overdue = fast === undefined ? {} : performance.at(fast, undefined, [{ ...tried, isAnswering: false }]);
    const [first, ...others] = candidates();
    t.not(
        choosePlace([...first === undefined ? [] : [{ ...first, ...overdue }], ...others], time.now, () => 0.5)
            ?.candidate.name,
        "fast" as EndpointName,
    );
});

// One slow answer would refuse requests of an endpoint with most slots free.
test("endpoint performance: an overdue try does not refuse requests", t => {
    const { time, performance, entries, candidates } = start();
    const [fast] = entries;
    const [candidate] = candidates();
    const tried = { sentAt: time.now, expectedAt: time.now + 900, predictedMs: 9, missingTokens: 0, memoryTokens: 0 };
    time.now += 600;
    const { overdue } = performance.at(fast!, undefined, [{ ...tried, isAnswering: false }]);
    const load = { ...candidate!, running: 4, slots: 16, missingTokens: 600 };
    const estimate = estimateStart({ ...load, overdue }, time.now);
    t.true((overdue ?? 1) > 10 && estimate.rankMs > 5 * estimate.startMs);
    t.is(overloadDelayMs({ ...estimate, objectiveMs: 200, isUrgent: true }), undefined);
    t.is(estimate.startMs, estimateStart(load, time.now).startMs);
});

const alpha = "alpha" as ModelName;
const beta = "beta" as ModelName;
const models = [
    { name: "as fast", startMs: { alpha: 200, beta: 200 } },
    { name: "four times as slow", startMs: { alpha: 200, beta: 800 } },
    { name: "a quarter as slow", startMs: { alpha: 800, beta: 200 } },
];

// Guards against starts that are predicted for no model of an engine, but for something between them: requests for the faster
// one wait or are refused, and those for the slower one are late.
models.forEach(({ name, startMs }) => {
    test(`endpoint performance: the starts of two models of an engine are predicted apart: one is ${name}`, t => {
        const time = { now: 1_000 };
        const clock = { now: () => time.now, epoch: () => time.now };
        const performance = createPerformance({ clock, lagMs: () => 0, metrics: createMetrics() });
        const entry = entryOf("e", { versions: new Map([[alpha, 1], [beta, 1]]) });
        const candidate = (model: ModelName) =>
            candidateOf("e", { missingTokens: 4_000, ...performance.at(entry, model, []) });
        const predicted = (model: ModelName): number => estimateStart(candidate(model), time.now).startMs;
        Array.from({ length: 40 }).forEach(() =>
            ([["alpha", alpha], ["beta", beta]] as const).forEach(([key, model]) => {
                time.now += 100;
                performance.observe(entry, {
                    candidate: candidate(model),
                    model,
                    predictedMs: predicted(model),
                    startMs: startMs[key],
                    sentAt: time.now,
                    outcome: "started",
                });
            })
        );
        const errors = ([["alpha", alpha], ["beta", beta]] as const).map(([key, model]) =>
            Math.abs(predicted(model) / startMs[key] - 1)
        );
        t.true(errors.every(error => error < MAX_ERROR), errors.join(", "));
    });
});

// Guards against an endpoint that is taken for silent as it answers requests for one model before those for another.
test("endpoint performance: a try for one model is not overdue once a later one for another is answered", t => {
    const time = { now: 1_000 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const performance = createPerformance({ clock, lagMs: () => 0, metrics: createMetrics() });
    const entry = entryOf("e", { versions: new Map([[alpha, 1], [beta, 1]]) });
    const answer = (model: ModelName, sentAt: number): void =>
        performance.observe(entry, {
            candidate: candidateOf("e"),
            model,
            predictedMs: 20,
            startMs: 20,
            sentAt,
            outcome: "started",
        });
    answer(beta, 900);
    const pending = { sentAt: 1_000, expectedAt: 2_000, predictedMs: 20, missingTokens: 0, memoryTokens: 0 };
    time.now = 1_500;
    const overdue = () => performance.at(entry, beta, [{ ...pending, isAnswering: false }]).overdue;
    t.true((overdue() ?? 1) > 10);
    answer(alpha, 1_200);
    t.is(overdue(), 1);
});

test("tick lag: a late tick counts for a second, an overdue one at once", t => {
    const time = { now: 0 };
    const { tick, recentMs } = createTickLag({ now: () => time.now, epoch: () => time.now }, 100);
    const after = (ms: number, isTick: boolean): number => {
        time.now += ms;
        if (isTick) {
            tick();
        }
        return recentMs();
    };
    t.deepEqual(
        [[100, true], [150, false], [10, true], [100, true], [1_001, false]].map(([ms, isTick]) =>
            after(Number(ms), isTick === true)
        ),
        [0, 50, 60, 60, 901],
    );
    t.deepEqual([after(0, true), after(100, true)], [901, 901]);
});
