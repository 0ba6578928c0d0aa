import type { EndpointName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createUnreadBodies } from "../../flow/createUnreadBodies.js";
import { silentLogger } from "../support/silentLogger.js";

const KB = 1024;
const entry = { name: "e" as EndpointName, address: "10.0.0.1:80" };

const open = ({ vms, silentVms }: { readonly vms: number; readonly silentVms: number; }) => {
    const state = { now: 0, others: 0 };
    const bodies = createUnreadBodies({
        clock: { now: () => state.now },
        // The endpoint's next incarnation has another name and the same address.
        entryOf: () => entry,
        othersAt: () => state.others,
        hasOthers: () => state.others > 0,
        vms: () => ({ vms, silentVms }),
        logger: silentLogger,
        metrics: createMetrics(),
    });
    return { state, bodies };
};

// Guards against VMs that exceed an endpoint's memory together, and against taking bodies that are on their way for unread.
const cases = [
    { name: "own bytes above the bound", own: 1_100, others: 0, afterMs: 300, isSlow: true },
    { name: "the same, still on their way", own: 1_100, others: 0, afterMs: 200, isSlow: false },
    { name: "the sum is above the bound", own: 600, others: 600, afterMs: 300, isSlow: true },
    { name: "the others' bytes alone are", own: 0, others: 1_100, afterMs: 0, isSlow: true },
    { name: "the sum is below it", own: 400, others: 600, afterMs: 300, isSlow: false },
    {
        name: "no other VM is heard, and they may have sent as much",
        own: 400,
        others: 0,
        afterMs: 300,
        silentVms: 2,
        isSlow: true,
    },
];
cases.forEach(({ name, own, others, afterMs, silentVms = 0, isSlow }) => {
    test(`unread bodies: ${name}`, t => {
        const { state, bodies } = open({ vms: 3, silentVms });
        if (own > 0) {
            bodies.begin(entry.address, own * KB);
        }
        state.now = afterMs;
        state.others = others * KB;
        t.is(bodies.isSlowReader(entry), isSlow);
        t.is(bodies.stalledBytes(entry.name), afterMs > 250 ? own * KB : 0);
    });
});

// Guards against an endpoint that is sent as much again after it has died of unread bodies, and against lowering its bound
// for each VM that reports one death.
test("unread bodies: a death lowers the bound to half of what was unread, once", t => {
    const { state, bodies } = open({ vms: 3, silentVms: 0 });
    const end = bodies.begin(entry.address, 200 * KB);
    state.now = 300;
    state.others = 200 * KB;
    t.false(bodies.isSlowReader(entry));
    state.now = 400;
    end();
    state.others = 0;
    bodies.recordDeath("e/1");
    const endNext = bodies.begin(entry.address, 199 * KB);
    state.now = 700;
    t.false(bodies.isSlowReader(entry));
    bodies.recordDeath("e/1");
    t.false(bodies.isSlowReader(entry));
    state.others = 2 * KB;
    t.true(bodies.isSlowReader(entry));
    endNext();
    t.false(bodies.isSlowReader(entry));
});
