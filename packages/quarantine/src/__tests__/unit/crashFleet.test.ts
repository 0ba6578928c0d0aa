import test from "ava";

import { simulateCrashes } from "../fleet/simulateCrashes.js";

const SEEDS = Number(process.env["CRASH_SEEDS"] ?? 3);
/** Runs of large fleets take seconds each. */
const LARGE_VMS = 60;
const LENGTH_MS = 10_000;
const MAX_SENT_LATER = 3;

const fleets = [
    { vms: 6, domains: 3, engines: 13, soundPerSecond: 57, sharedParts: 735 },
    { vms: 61, domains: 4, engines: 60, soundPerSecond: 420, sharedParts: 2_000 },
    { vms: 195, domains: 5, engines: 78, soundPerSecond: 900, sharedParts: 4_000 },
] as const;
type Options = Parameters<typeof simulateCrashes>[0];

const none = { crashingParts: 0, crashingPerSecond: 0, position: 1, deathsPerSecond: 0, vmFaultsPerSecond: 0 } as const;
const usual = { ...none, crashingParts: 1, crashingPerSecond: 10 };
const seedsOf = (vms: number): readonly number[] => Array.from({ length: vms > 100 ? 1 : SEEDS }, (_, i) => i + 1);

const storms: readonly { readonly name: string; readonly isLarge: boolean; readonly storm: Partial<Options>; }[] = [
    ...[2, 10, 50].map(rate => ({ name: `${rate} a second`, isLarge: true, storm: { crashingPerSecond: rate } })),
    { name: "two parts", isLarge: false, storm: { crashingParts: 2 } },
    { name: "first", isLarge: false, storm: { position: 0 } },
    { name: "third", isLarge: false, storm: { position: 2 } },
    { name: "no head before the crash", isLarge: true, storm: { hasHead: false } },
    {
        name: "VMs fail and engines die by themselves",
        isLarge: true,
        storm: { deathsPerSecond: 1, vmFaultsPerSecond: 0.5 },
    },
];

// Guards against a part that goes on crashing engines, at each size of a fleet, and sound parts refused beside it.
fleets.forEach(fleet => {
    storms.filter(({ isLarge }) => fleet.vms <= LARGE_VMS || isLarge).forEach(({ name, storm }) => {
        test(`crash fleet: ${fleet.vms} VMs keep a part from engines: ${name}`, t => {
            seedsOf(fleet.vms).forEach(seed => {
                const options = { ...fleet, ...usual, ...storm, lengthMs: LENGTH_MS, seed };
                const outcome = simulateCrashes(options);
                t.true(outcome.sentLater <= MAX_SENT_LATER * options.crashingParts, JSON.stringify(outcome));
                t.is(outcome.wrongVerdicts, 0, JSON.stringify(outcome));
            });
        });
    });
});

const chances = [
    { name: "one at a time", deathsPerSecond: 2 },
    { name: "a third at one moment", outage: { share: 0.33, everyMs: 5_000 } },
    { name: "all at one moment", outage: { share: 1, everyMs: 6_000 } },
];

// Guards against refusing anybody's part because engines die by themselves.
fleets.slice(0, 2).forEach(fleet => {
    chances.forEach(({ name, ...chance }) => {
        test(`crash fleet: ${fleet.vms} VMs refuse nothing as engines die by themselves: ${name}`, t => {
            seedsOf(fleet.vms).forEach(seed => {
                const outcome = simulateCrashes({
                    ...fleet,
                    ...none,
                    vmFaultsPerSecond: 0.5,
                    ...chance,
                    lengthMs: LENGTH_MS,
                    seed,
                });
                t.is(outcome.wrongVerdicts, 0, JSON.stringify(outcome));
                t.is(outcome.refused, 0);
            });
        });
    });
});
