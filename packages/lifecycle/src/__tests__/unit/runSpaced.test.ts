import { setTimeout as sleep } from "node:timers/promises";

import test from "ava";

import { runSpaced } from "../../runSpaced.js";

const SPACE_MS = 100;

// Guards against the last of many calls being dropped, and against a run for each of them.
([[1, 1], [2, 2], [50, 2]] as const).forEach(([calls, runs]) => {
    test(`spaced runs: ${calls} calls at once make ${runs}`, async t => {
        const ran: number[] = [];
        const call = runSpaced(SPACE_MS, () => void ran.push(1));
        Array.from({ length: calls }).forEach(call);
        t.is(ran.length, 1);
        await sleep(5 * SPACE_MS);
        t.is(ran.length, runs);
    });
});
