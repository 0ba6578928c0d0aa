import test from "ava";

import { simulatePauses } from "../fleet/simulatePauses.js";
import { ways } from "../fleet/ways.js";

type Run = Omit<Parameters<typeof simulatePauses>[0], "seed" | "way">;
type Size = Pick<Run, "vms" | "endpoints" | "perSecond" | "runMs"> & { readonly seeds: readonly number[]; };
/** Requests that a VM may send within a pause. */
const MOST = 2;

const sizes: readonly Size[] = [
    { vms: 6, endpoints: 13, perSecond: 82, seeds: [1, 2, 3] },
    { vms: 61, endpoints: 42, perSecond: 401, seeds: [1, 2, 3] },
    { vms: 195, endpoints: 55, perSecond: 354, seeds: [1, 2, 3] },
    { vms: 410, endpoints: 840, perSecond: 6_700, runMs: 4_000, seeds: [1] },
];
const cases: readonly (Pick<Run, "pauseMs" | "refusedVms"> & { readonly name: string; readonly part: number; })[] = [
    { name: "a third refuses for 3 s at a time", part: 1 / 3, pauseMs: 3_000 },
    { name: "one refuses for 0.2 s at a time", part: 0, pauseMs: 200 },
    { name: "a third refuses for 60 s", part: 1 / 3, pauseMs: 60_000 },
    { name: "all refuse half of the VMs for 3 s at a time", part: 1, pauseMs: 3_000, refusedVms: 0.5 },
];

// Guards against VMs that each find out by requests that an endpoint wants a pause, and against pauses that are not kept.
sizes.forEach(({ seeds, ...size }) => {
    cases.forEach(({ name, part, ...paused }) => {
        test(`paused fleet: pauses are kept, and retries suffice: ${size.vms} VMs, ${name}`, t => {
            const refusing = Math.max(1, Math.round(size.endpoints * part));
            const results = seeds.map(seed => simulatePauses({ ...size, ...paused, refusing, seed, way: ways.told }));
            t.log(JSON.stringify(results));
            // A VM that all endpoints refuse can serve nothing.
            const servable = part === 1 ? 1 - (paused.refusedVms ?? 1) : 1;
            results.forEach(({ served, most }) => {
                t.true(most <= MOST);
                t.true(served >= 0.99 * servable - (part === 1 ? 0.05 : 0));
            });
        });
    });
});
