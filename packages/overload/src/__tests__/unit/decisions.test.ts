import test from "ava";

import { admits } from "../../admits.js";
import { divideShed } from "../../divideShed.js";
import { initialLoad } from "../../initialLoad.js";
import { initialTicks } from "../../initialTicks.js";
import type { KindArrivals } from "../../KindArrivals.js";
import { recordAnswer } from "../../recordAnswer.js";
import { shedEndsInMs } from "../../shedEndsInMs.js";
import { shortestAnswer } from "../../shortestAnswer.js";
import { stepLoad } from "../../stepLoad.js";
import { stepTicks } from "../../stepTicks.js";
import { waitedMs } from "../../waitedMs.js";

const urgent = { name: "urgent", priority: 0, objectiveMs: 800 };
const other = { name: "other", priority: 2, objectiveMs: 2_000 };
const load = (kind: typeof urgent, recent: number) => ({ kind, recent, refusedFraction: 0 });

const divisions = [
    { name: "only the least urgent kind, while it is enough", shed: 0.3, refused: [0, 0.6] },
    { name: "the urgent kind too, once 5% of the other are left", shed: 0.6, refused: [0.25, 0.95] },
    { name: "never more than three quarters of the urgent kind", shed: 1, refused: [0.75, 0.95] },
];
divisions.forEach(({ name, shed, refused }) => {
    test(`divideShed: ${name}`, t => {
        const fractions = divideShed([load(urgent, 10), load(other, 10)], new Map(), shed).kinds
            .map(each => each.refusedFraction);
        fractions.forEach((fraction, i) => t.true(Math.abs(fraction - (refused[i] ?? 0)) < 1e-9));
    });
});

const plain = { name: "plain", priority: 1, objectiveMs: 149 };
const heads = [
    { name: "while a less urgent kind is admitted", kind: plain, others: 0.08, draw: 0.5, isAdmitted: true },
    { name: "once less urgent kinds are at their floor", kind: plain, others: 0.95, draw: 0.5, isAdmitted: false },
    { name: "once they are, for its own floor", kind: plain, others: 0.95, draw: 0.96, isAdmitted: true },
    { name: "as the least urgent kind", kind: other, others: 0.08, draw: 0.5, isAdmitted: false },
    { name: "as the least urgent kind, for its floor", kind: other, others: 0.08, draw: 0.96, isAdmitted: true },
    { name: "as the most urgent kind", kind: urgent, others: 0.95, draw: 0.5, isAdmitted: true },
];
// A kind with a tight objective would be refused whole before a less urgent kind with a wide one.
heads.forEach(({ name, kind, others, draw, isAdmitted }) => {
    test(`admits: a request that has waited beyond its objective, ${name}`, t => {
        const kinds = [load(urgent, 10), load(plain, 10), { ...load(other, 10), refusedFraction: others }];
        const state = {
            ...initialLoad(),
            shedFraction: 0.05,
            kinds: new Map(kinds.map(each => [each.kind.name, each])),
        };
        t.is(admits(state, { kind, waitedMs: 3_000, draw }), isAdmitted);
    });
});

const initial = { ...initialLoad(), ticks: initialTicks(0) };
const loadAt = (state: typeof initial, times: readonly number[], arrivals: readonly KindArrivals[]) =>
    times.reduce((before, now) => {
        const ticks = stepTicks(before.ticks, 100, now);
        return { ...stepLoad(before, { kind: "tick", ticks, arrivals }), ticks };
    }, state);

// A process that was suspended once has no shortage of CPU time.
test("stepLoad: one long pause refuses at most a tenth of the requests, and none a second later", t => {
    const arrivals = [{ kind: urgent, count: 5 }, { kind: other, count: 5 }];
    const paused = loadAt(initial, [100, 5_000], arrivals);
    t.true(paused.shedFraction > 0 && paused.shedFraction <= 0.1);
    const later = loadAt(paused, Array.from({ length: 10 }, (_, i) => 5_100 + i * 100), arrivals);
    t.is(later.shedFraction, 0);
    t.true(admits(later, { kind: other, waitedMs: 5_000, draw: 0 }));
});

// Guards against refusals for a time in which the process did not run, as if it had had too much to do.
test("stepLoad: a pause in which the process did not run refuses nothing", t => {
    const arrivals = [{ kind: urgent, count: 5 }, { kind: other, count: 5 }];
    const before = loadAt(initial, [100], arrivals);
    const ticks = stepTicks(before.ticks, 100, 5_000, 4_800);
    t.is(stepLoad(before, { kind: "tick", ticks, arrivals }).shedFraction, 0);
});

// Callers that come back while the VM still refuses requests are refused again.
test("shedEndsInMs: the time until the refused fraction has fallen to zero", t => {
    t.deepEqual([0, 0.3, 0.6].map(shedFraction => shedEndsInMs({ shedFraction })), [0, 1_000, 2_000]);
});

// A machine that is busy with other processes makes ticks late; refusing its few requests would not change that.
test("stepLoad: nothing is refused while there are few requests, however late the ticks are", t => {
    const late = loadAt(initial, Array.from({ length: 20 }, (_, i) => i * 500), [{ kind: urgent, count: 1 }]);
    t.is(late.shedFraction, 0);
});

const firstTurns = { lagMs: 700, isAfterTick: true };
const waits = [
    { name: "ticks in time", lagMs: 10, isAfterTick: true, acceptedAt: 500, now: 1_050, least: 0, most: 0 },
    {
        name: "a tick overdue",
        lagMs: 0,
        isAfterTick: false,
        acceptedAt: undefined,
        now: 1_900,
        least: 800,
        most: 1_700,
    },
    { name: "a tick overdue, new connection", ...firstTurns, acceptedAt: 1_850, now: 1_900, least: 50, most: 50 },
    {
        name: "open connection, after a late tick",
        ...firstTurns,
        acceptedAt: undefined,
        now: 1_050,
        least: 0,
        most: 850,
    },
    { name: "new connection, after a late tick", ...firstTurns, acceptedAt: 1_049, now: 1_050, least: 0, most: 1 },
    { name: "a connection opened ahead", ...firstTurns, acceptedAt: 5, now: 1_050, least: 0, most: 850 },
    { name: "later turns", lagMs: 700, isAfterTick: false, acceptedAt: undefined, now: 1_050, least: 0, most: 0 },
];
// A request that waited unread has less time left than its head says; sent after that, it runs for nobody. One that did
// not wait would be refused as too late, or end before its time is up.
waits.forEach(({ name, lagMs, isAfterTick, acceptedAt, now, least, most }) => {
    test(`waitedMs: ${name}`, t => {
        t.deepEqual(waitedMs({ tickAt: 1_000, previousTickAt: 200, lagMs }, 100, { acceptedAt, isAfterTick }, now), {
            least,
            most,
        });
    });
});

// A bound from one slow answer, or from long ago, would refuse requests that can be served.
test("shortestAnswer: from five answers on, of the last two windows", t => {
    const after = (...times: readonly (readonly [ms: number, now: number])[]) =>
        times.reduce<ReturnType<typeof recordAnswer> | undefined>(
            (all, [ms, now]) => recordAnswer(all, ms, now),
            undefined,
        );
    const five = after([90, 0], [70, 1], [80, 2], [100, 3], [90, 4]);
    t.is(shortestAnswer(undefined, 0), 0);
    t.is(shortestAnswer(after([90, 0], [70, 1]), 5), 0);
    t.is(shortestAnswer(five, 5), 70);
    t.is(shortestAnswer(five, 20_000), 0);
    // A bound from one answer in a window would last for as long as the answers become slower.
    t.is(shortestAnswer(after([90, 0], [70, 1], [80, 2], [100, 3], [90, 4], [900, 10_000]), 10_001), 70);
    t.is(shortestAnswer(recordAnswer(recordAnswer(five, 900, 10_000), 900, 20_001), 20_002), 0);
    t.is(shortestAnswer(recordAnswer(five, 900, 30_000), 30_001), 0);
});
