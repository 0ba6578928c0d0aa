import test from "ava";

import { measureIdleCost } from "../../idleCost/measureIdleCost.js";
import { profileShares } from "../../idleCost/profileShares.js";

const node = (id: number, functionName: string, url: string, children: readonly number[] = []) => ({
    id,
    callFrame: { functionName, url },
    children,
});

// Time of the runtime that a component causes would otherwise count for nobody, and idle time as work.
test("a sample counts for the innermost component on its stack, and idle time for none", t => {
    const profile = {
        nodes: [
            node(1, "(root)", "", [2, 3, 6]),
            node(2, "(idle)", ""),
            node(3, "receive", "file:///x/router/dist/peers/startBeacons.js", [4]),
            node(4, "apply", "file:///x/router/dist/registry/startRegistry.js", [5]),
            node(5, "parse", ""),
            node(6, "processTimers", "node:internal/timers"),
        ],
        startTime: 0,
        samples: [3, 2, 3, 5, 6, 3],
        timeDeltas: [10, 100, 20, 10, 10, 1_000],
    };
    t.deepEqual(profileShares(profile, 100, 1_000), { beacons: 0.5, registry: 0.25, runtime: 0.25 });
});

test("a measured VM knows the simulated VMs and endpoints, and its beacons are readable", async t => {
    const figures = await measureIdleCost(
        { vms: 6, domains: 3, endpoints: 10, role: "relay" },
        { settleMs: 2_500, measureMs: 1_000 },
    );
    t.is(figures.peersKnown, 5);
    t.is(figures.endpointsKnown, 10);
    t.true(figures.beaconsSent > 0 && figures.beaconsReceived > 0);
    t.true((figures.shares["beacons"] ?? 0) > 0);
});
