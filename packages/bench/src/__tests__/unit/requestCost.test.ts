import test from "ava";

import { measureRequestCost } from "../../requestCost/measureRequestCost.js";
import { stageShares } from "../../requestCost/stageShares.js";

test("a short run of the request cost answers every request whole, through the router and the proxy", async t => {
    // A benchmark whose requests are refused, or whose streams are cut off, measures the cost of something else.
    const cost = await measureRequestCost({ perSecond: 20, secondsPerRun: 1, pairs: 1, kinds: ["plain", "stream"] });
    t.deepEqual(
        cost.kinds.map(({ kind, sent, answeredByRouter, answeredByProxy }) => ({
            kind,
            sent,
            answeredByRouter,
            answeredByProxy,
        })),
        (["plain", "stream"] as const).map(kind => ({ kind, sent: 20, answeredByRouter: 20, answeredByProxy: 20 })),
    );
    const stages = cost.kinds.flatMap(({ stagesMs }) => [stagesMs.accept, stagesMs.forward]);
    t.true(stages.every(ms => Number.isFinite(ms) && ms !== 0), JSON.stringify(cost.kinds));
});

test("the time of a profile goes to the stage of the nearest known caller, without idle time", t => {
    // Time in Node's own functions would otherwise count for no stage, and idle time would dwarf all of them.
    const frame = (functionName: string, url: string) => ({ callFrame: { functionName, url } });
    const shares = stageShares({
        nodes: [
            { id: 1, ...frame("(root)", ""), children: [2, 3] },
            { id: 2, ...frame("(idle)", "") },
            { id: 3, ...frame("runTry", "file:///packages/router/dist/serve/runTry.js"), children: [4, 5] },
            { id: 4, ...frame("writev", "") },
            { id: 5, ...frame("count", "file:///packages/telemetry/dist/createMetrics.js") },
        ],
        samples: [2, 2, 2, 3, 4, 4, 5],
    });
    t.deepEqual(shares, { accept: 0, admit: 0, place: 0, forward: 0.75, account: 0.25, log: 0, other: 0 });
});
