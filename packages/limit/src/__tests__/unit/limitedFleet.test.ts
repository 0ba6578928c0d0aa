import test from "ava";

import { createCounterPlacer } from "../fleet/createCounterPlacer.js";
import { createEvenPlacer } from "../fleet/createEvenPlacer.js";
import { createHolderPlacer } from "../fleet/createHolderPlacer.js";
import { createLoadPlacer } from "../fleet/createLoadPlacer.js";
import { drawScenario } from "../fleet/drawScenario.js";
import type { LimitScenario } from "../fleet/LimitScenario.js";
import { simulateLimits } from "../fleet/simulateLimits.js";

const MIN_USED = 0.5;
const usual: LimitScenario = {
    vms: 6,
    failureDomains: 3,
    endpoints: 13,
    limited: 2,
    limitAt: () => 1.5,
    offeredAt: () => 82,
    createPlacer: createLoadPlacer,
    seed: 1,
    durationMs: 12_000,
};
const burst = (from: number, to: number) => (now: number): number => now > 6_000 && now < 9_000 ? to : from;

type Case = { readonly name: string; readonly minUsed?: number; readonly seeds?: number; } & Partial<LimitScenario>;

const sizes = [
    { vms: 6, offeredAt: () => 82 },
    { vms: 61, offeredAt: () => 401 },
    { vms: 195, offeredAt: () => 354, endpoints: 55, failureDomains: 5 },
    { vms: 410, offeredAt: () => 354, endpoints: 55, failureDomains: 5, seeds: 1 },
];
const cases: readonly Case[] = [
    ...sizes.flatMap(size =>
        [0.2, 1, 5, 100].map(limit => ({
            name: `${size.vms} VMs, ${limit} a second`,
            ...size,
            limitAt: () => limit,
            // With fewer requests than the limit, or about one in the whole time, no share is due.
            minUsed: limit === 100 || limit === 0.2 ? 0 : MIN_USED,
        }))
    ),
    { name: "nine in ten requests reach one VM", firstVmShare: 0.9 },
    { name: "nine in ten requests reach one of 195 VMs", ...sizes[2], firstVmShare: 0.9 },
    { name: "a failure domain without callers", idleDomain: 1 },
    { name: "three times the requests at a moment", offeredAt: burst(82, 246) },
    { name: "three times the requests at a moment, 61 VMs", ...sizes[1], offeredAt: burst(401, 1_203) },
    { name: "hardly any request, then many at a moment, 61 VMs", ...sizes[1], offeredAt: burst(1, 401), minUsed: 0 },
    { name: "8, then 2 a second", limitAt: now => now < 6_000 ? 8 : 2 },
    { name: "2, then 8 a second", limitAt: now => now < 6_000 ? 2 : 8 },
    { name: "a VM is killed", kills: [{ at: 5_000, count: 1 }] },
    { name: "all VMs are killed", kills: [{ at: 5_000, count: 6 }], minUsed: 0.4 },
    {
        name: "half of 61 VMs are killed, twice",
        ...sizes[1],
        kills: [{ at: 4_000, count: 30 }, { at: 7_000, count: 30 }],
        minUsed: 0.4,
    },
    { name: "two VMs are cut off", cut: { from: 3_000, to: 9_000, count: 2 }, minUsed: 0.4 },
    { name: "twenty of 61 VMs are cut off", ...sizes[1], cut: { from: 3_000, to: 9_000, count: 20 }, minUsed: 0.4 },
    { name: "all endpoints", limited: 13 },
    { name: "all endpoints, 195 VMs", ...sizes[2], limited: 55 },
];

// Guards against VMs that together send more to an endpoint than it takes, or hardly anything, at sizes beyond processes.
cases.forEach(({ name, minUsed = MIN_USED, seeds = 3, ...scenario }) => {
    test(`limited fleet: ${name}`, t => {
        Array.from({ length: seeds }, (_, i) => i + 1).forEach(seed => {
            const { over, used, refused } = simulateLimits({ ...usual, ...scenario, seed });
            t.log(JSON.stringify({ seed, over, used, refused }));
            t.true(over <= 0);
            t.true(used >= minUsed);
        });
    });
});

const SEEDS = Number(process.env["LIMIT_SEEDS"] ?? 8);
const FIRST_SEED = Number(process.env["LIMIT_FIRST_SEED"] ?? 1);

// The same for drawn fleets whose load, limits, VMs and links change in series and overlap.
Array.from({ length: SEEDS }, (_, i) => FIRST_SEED + i).forEach(seed => {
    test(`limited fleet: drawn, seed ${seed}`, t => {
        const scenario = drawScenario(seed);
        const { over, used, refused } = simulateLimits({ ...scenario, createPlacer: createLoadPlacer });
        t.log(JSON.stringify({ seed, vms: scenario.vms, limited: scenario.limited, over, used, refused }));
        t.true(over <= 0);
    });
});

// The ways that were weighed, so that they can be compared again.
const ways = [
    { name: "even shares", createPlacer: createEvenPlacer, isKept: true },
    { name: "a holder for each endpoint", createPlacer: createHolderPlacer, isKept: true },
    { name: "a common counter", createPlacer: createCounterPlacer, isKept: false },
];
ways.forEach(({ name, createPlacer, isKept }) => {
    test(`limited fleet: with ${name}, 61 VMs ${isKept ? "keep" : "do not keep"} to a limit`, t => {
        const { over, used } = simulateLimits({ ...usual, ...sizes[1], createPlacer });
        t.log(JSON.stringify({ over, used }));
        t.is(over <= 0, isKept);
    });
});
