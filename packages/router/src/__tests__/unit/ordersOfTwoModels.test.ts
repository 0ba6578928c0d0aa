import test from "ava";

import { seededRandom } from "../support/seededRandom.js";
import { simulateOrders } from "../support/simulateOrders.js";

type Run = Parameters<typeof simulateOrders>[0];
type Case = Partial<Run> & {
    readonly name: string;
    readonly targetsAt: readonly number[];
    readonly betaTargetsAt: readonly number[];
    /** Orders that bring each engine to its versions. */
    readonly orders: number;
};

const SECOND_MS = 1_000;
const VERSION_MS = 10 * SECOND_MS;
const FAR_LATER = 14 * SECOND_MS;

const calm: Omit<Run, "targetsAt"> = {
    vms: 3,
    engines: 3,
    endAt: 40 * SECOND_MS,
    restarts: [],
    kills: [],
    lateMs: () => undefined,
    registryLagMs: () => 300,
};

const cases: readonly Case[] = [
    { name: "one after the other", targetsAt: [1_000], betaTargetsAt: [FAR_LATER], orders: 6 },
    { name: "both at once", targetsAt: [1_000], betaTargetsAt: [1_000], orders: 6 },
    { name: "both at once, many engines", engines: 13, targetsAt: [1_000], betaTargetsAt: [1_000], orders: 26 },
    { name: "one while engines load those of the other", targetsAt: [1_000], betaTargetsAt: [1_700], orders: 6 },
    { name: "one engine", engines: 1, targetsAt: [1_000], betaTargetsAt: [1_000], orders: 2 },
    {
        name: "one far behind the other",
        targetsAt: [1_000, 4_000, 7_000, 10_000],
        betaTargetsAt: [FAR_LATER],
        orders: 15,
    },
    {
        name: "all VMs are killed between the two",
        targetsAt: [1_000],
        betaTargetsAt: [FAR_LATER],
        kills: [0, 1, 2].map(vm => ({ vm, at: 8_000, downMs: 500 })),
        orders: 6,
    },
    {
        name: "all VMs are killed while engines load those of the first",
        targetsAt: [1_000],
        betaTargetsAt: [1_000],
        kills: [0, 1, 2].map(vm => ({ vm, at: 1_600, downMs: 300 })),
        orders: 6,
    },
    {
        name: "some engines serve one of them",
        engines: 6,
        modelsOf: engine => [["model", "beta"], ["model"], ["beta"]][engine % 3] ?? [],
        targetsAt: [1_000],
        betaTargetsAt: [1_000],
        orders: 8,
    },
];

// Guards against orders for one model that keep an engine from being ordered for another, or are given while it carries out
// those: its weights are not replaced in time, it refuses orders, or is ordered twice.
cases.forEach(({ name, betaTargetsAt, orders, ...run }) => {
    test(`orders of two models: ${name}`, async t => {
        const result = await simulateOrders({ ...calm, ...run, moreTargetsAt: { beta: betaTargetsAt } });
        const namedAt = Math.max(...run.targetsAt, ...betaTargetsAt);
        t.log(`done after ${(result.doneAt ?? Infinity) - namedAt} ms`);
        t.is(result.outdated, 0);
        t.true((result.doneAt ?? Infinity) - namedAt < VERSION_MS);
        t.deepEqual([result.accepted, result.conflicts], [orders, 0]);
    });
});

const SEEDS = Array.from({ length: 30 }, (_, i) => i + 1);
const BUSY_MS = 30 * SECOND_MS;
const MAX_LATE_MS = 12 * SECOND_MS;

/** Targets of both models, restarts of engines, kills of VMs and late orders at random, and none in the last 30 s. */
const randomRun = (seed: number): Run => {
    const random = seededRandom(seed * 7_919);
    const times = (count: number): readonly number[] => Array.from({ length: count }, () => random() * BUSY_MS);
    return {
        vms: 3,
        engines: 6,
        endAt: 2 * BUSY_MS,
        targetsAt: times(4).toSorted((a, b) => a - b),
        moreTargetsAt: { beta: times(3).toSorted((a, b) => a - b) },
        modelsOf: engine => engine === 5 ? ["beta"] : ["model", "beta"],
        restarts: times(12).map(at => ({ engine: Math.floor(random() * 6), at, downMs: 50 + random() * 1_500 })),
        kills: times(4).map(at => ({ vm: Math.floor(random() * 3), at, downMs: 300 + random() * 2_000 })),
        lateMs: now =>
            now < BUSY_MS && random() < 0.3 ? 2 * SECOND_MS + random() * (MAX_LATE_MS - 2 * SECOND_MS) : undefined,
        registryLagMs: () => 100 + random() * 1_500,
    };
};

// The same while VMs, engines and answers fail; and against late orders that bring older weights back.
test("orders of two models: all engines get to both targets after failures", async t => {
    const results = await Promise.all(SEEDS.map(async seed => ({ seed, ...await simulateOrders(randomRun(seed)) })));
    t.deepEqual(results.filter(({ outdated }) => outdated > 0).map(({ seed }) => seed), []);
    t.deepEqual(results.flatMap(({ fencesBack }) => fencesBack), []);
});
