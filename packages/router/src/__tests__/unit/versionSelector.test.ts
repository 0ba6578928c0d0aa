import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { createVersionSelector } from "../../peers/createVersionSelector.js";

// If each beacon lists all versions, beacons of dozens of VMs fill small links; if it omits too many, a VM misses a
// change.

const ENGINES = 63;
const engines = (learnedAt: (i: number) => number): readonly {
    readonly endpoint: EndpointName;
    readonly version: number;
    readonly learnedAt: number;
}[] =>
    Array.from(
        { length: ENGINES },
        (_, i) => ({ endpoint: `e${i}` as EndpointName, version: 2, learnedAt: learnedAt(i) }),
    );

const cases = [
    { name: "nothing changed: a few in rotation", learnedAt: () => -Infinity, most: 8, always: [] },
    { name: "only old changes: a few in rotation", learnedAt: () => 1_000, most: 8, always: [] },
    {
        name: "a recent change that this VM saw is sent each time",
        learnedAt: (i: number) => i === 40 ? 9_000 : -Infinity,
        most: 9,
        always: ["e40"],
    },
];

cases.forEach(({ name, learnedAt, most, always }) => {
    test(`engine versions: ${name}`, t => {
        const select = createVersionSelector(() => engines(learnedAt), () => 10_000);
        const sent = Array.from({ length: Math.ceil(ENGINES / 8) }, () => select().map(([endpoint]) => `${endpoint}`));
        sent.forEach(names => {
            t.true(names.length <= most);
            always.forEach(each => t.true(names.includes(each)));
        });
        t.is(new Set(sent.flat()).size, ENGINES, "each engine is sent at least once");
    });
});

test("engine versions: none if none are known", t => {
    t.deepEqual(createVersionSelector(() => [], () => 0)(), []);
});
