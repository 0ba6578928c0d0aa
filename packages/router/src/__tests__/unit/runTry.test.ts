import test from "ava";

import { runTry } from "../../serve/runTry.js";
import type { TryParts } from "../../serve/TryParts.js";

// Guards against a request that failed by an error counting as running at its endpoint for good, which takes its places.
test("runTry: a try that throws does not count as running any more", async t => {
    const ended: string[] = [];
    const fault = new Error("fault");
    const tryParts = {
        parts: {
            clock: {
                now: () => {
                    throw fault;
                },
            },
            endpointTable: { beginRequest: () => ({ end: (outcome: string) => ended.push(outcome) }) },
        },
        served: { route: { objectiveMs: 100 } },
        place: { entry: { name: "e1" }, missingTokens: 0, memoryTokens: 0, startMs: 5 },
    } as unknown as TryParts;
    t.is(await t.throwsAsync(runTry(tryParts)), fault);
    t.deepEqual(ended, ["cancelled"]);
});
