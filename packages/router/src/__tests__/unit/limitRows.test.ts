import type { ModelName, ServiceName } from "@azureshunt/core";
import test from "ava";

import { limitRowNames } from "../../placement/limitRowNames.js";
import { relayFleet } from "../support/relayFleet.js";
import { seededRandom } from "../support/seededRandom.js";

const SETTLED_MS = 4_000;
const PLACED = 7_000;

const name = limitRowNames.offered({ service: "lm" as ServiceName, model: "m" as ModelName });

// Guards against VMs that count the requests of some others twice or not at all, and share a limit wrongly.
[[3, 2], [3, 20], [5, 16]].forEach(([domains = 0, vmsPerDomain = 0]) => {
    test(`limit rows: each of ${domains * vmsPerDomain} VMs knows what all others place, through relays`, t => {
        const load = [[name, { running: PLACED, waitingTokens: 0, memoryTokens: 0 }]] as const;
        const fleet = relayFleet({
            domains,
            vmsPerDomain,
            random: seededRandom(1),
            onStart: ({ localState }) => {
                localState.current = () => ({ load });
            },
        });
        fleet.runUntil(SETTLED_MS);
        const sums = fleet.vms().map(({ peerLoad }) => peerLoad.at(name).running);
        t.deepEqual([...new Set(sums)], [PLACED * (domains * vmsPerDomain - 1)]);
    });
});
