import test from "ava";

import { simulateStreams } from "../fleet/simulateStreams.js";

const LENGTH_MS = 45_000;

const fleets = [
    { name: "a small fleet", vms: 6, domains: 3, releaseEveryMs: 6_000 },
    { name: "a fleet in which few VMs keep a stream", vms: 24, domains: 2, releaseEveryMs: 6_000 },
    { name: "a fleet with few releases", vms: 6, domains: 3, releaseEveryMs: 40_000 },
    { name: "a fleet with one version", vms: 6, domains: 3, releaseEveryMs: Infinity },
] as const;

// Guards against streams that hold events of two versions while VMs are killed, cut off and started during releases.
fleets.forEach(({ name, ...fleet }) => {
    [1, 2, 3].forEach(seed => {
        test(`stream fleet: no stream of ${name} goes on at another version, and most go on, seed ${seed}`, async t => {
            const outcome = await simulateStreams({ ...fleet, seed, lengthMs: LENGTH_MS });
            t.deepEqual(outcome.joined, []);
            t.true(outcome.resumedInTouch > 100);
            t.true(outcome.continuedInTouch >= outcome.resumedInTouch / 2, JSON.stringify(outcome));
        });
    });
});
