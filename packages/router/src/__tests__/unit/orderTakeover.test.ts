import test from "ava";

import { seededRandom } from "../support/seededRandom.js";
import { simulateOrders } from "../support/simulateOrders.js";

type Run = Parameters<typeof simulateOrders>[0];
type Kill = Run["kills"][number];

const SEEDS = Array.from({ length: 30 }, (_, i) => i + 1);
const SECOND_MS = 1_000;
const BUSY_MS = 30 * SECOND_MS;
const MAX_LATE_MS = 12 * SECOND_MS;

type Fleet = {
    readonly name: string;
    readonly vms: number;
    readonly engines: number;
    readonly killsAt: (random: () => number, vms: number) => readonly Kill[];
};

const killOf = (random: () => number, vm: number, at: number): Kill => ({ vm, at, downMs: 300 + random() * 2_000 });
const vmsOf = (count: number): readonly number[] => Array.from({ length: count }, (_, vm) => vm);
const killsOfAll = (random: () => number, vms: number): readonly Kill[] =>
    [1, 2, 3].flatMap(() => {
        const at = random() * BUSY_MS;
        return vmsOf(vms).map(vm => killOf(random, vm, at + random() * 200));
    });
const killsOfOnes = (random: () => number, vms: number): readonly Kill[] =>
    vmsOf(3 * vms).map(() => killOf(random, Math.floor(random() * vms), random() * BUSY_MS));

// A late order brings old weights back: no process is left that knew of it, or that saw the engine start again.
const fleets: readonly Fleet[] = [
    { name: "all VMs are killed together", vms: 3, engines: 6, killsAt: killsOfAll },
    { name: "VMs are killed in quick succession", vms: 3, engines: 6, killsAt: killsOfOnes },
    { name: "the only VM is killed", vms: 1, engines: 4, killsAt: killsOfOnes },
];

fleets.forEach(({ name, vms, engines, killsAt }) => {
    test(`order takeover: an engine accepts no late order after a newer one: ${name}`, async t => {
        const results = await Promise.all(SEEDS.map(async seed => {
            const random = seededRandom(seed * 7_919);
            const times = (count: number): readonly number[] => Array.from({ length: count }, () => random() * BUSY_MS);
            const { fencesBack, outdated } = await simulateOrders({
                vms,
                engines,
                endAt: 2 * BUSY_MS,
                targetsAt: times(8).toSorted((a, b) => a - b),
                restarts: times(4 * engines).map(at => ({
                    engine: Math.floor(random() * engines),
                    at,
                    downMs: 50 + random() * 1_500,
                })),
                kills: killsAt(random, vms),
                lateMs: now =>
                    now < BUSY_MS && random() < 0.5
                        ? 2 * SECOND_MS + random() * (MAX_LATE_MS - 2 * SECOND_MS)
                        : undefined,
                registryLagMs: () => 100 + random() * 1_500,
            });
            return { seed, fencesBack, outdated };
        }));
        t.deepEqual(results.filter(({ fencesBack, outdated }) => fencesBack.length > 0 || outdated > 0), []);
    });
});

/** Within this time after a target is set, requests have to begin on its version. */
const VERSION_MS = 10 * SECOND_MS;
const TARGET_AT = 5 * SECOND_MS;
const ENGINES = 8;

// A process that takes the lease over holds engines back without need, and the fleet stays on old weights.
const promptRuns: readonly {
    readonly name: string;
    readonly startsAt: number | undefined;
    readonly killsAt: number;
}[] = [
    { name: "all VMs start again while engines are ordered", startsAt: undefined, killsAt: TARGET_AT + 600 },
    { name: "the engines started shortly before", startsAt: TARGET_AT - 2 * SECOND_MS, killsAt: TARGET_AT + 600 },
    { name: "the VMs start again before any engine is ordered", startsAt: undefined, killsAt: TARGET_AT - 300 },
];

promptRuns.forEach(({ name, startsAt, killsAt }) => {
    test(`order takeover: all engines get to the target in time: ${name}`, async t => {
        const { outdated } = await simulateOrders({
            vms: 3,
            engines: ENGINES,
            endAt: TARGET_AT + VERSION_MS,
            targetsAt: [SECOND_MS, TARGET_AT],
            restarts: startsAt === undefined
                ? []
                : vmsOf(ENGINES).map(engine => ({ engine, at: startsAt, downMs: 300 })),
            kills: vmsOf(3).map(vm => ({ vm, at: killsAt, downMs: 500 })),
            lateMs: () => undefined,
            registryLagMs: () => 300,
        });
        t.is(outdated, 0);
    });
});
