import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { createHeldNews } from "../../peers/createHeldNews.js";

// Beacons of dozens of VMs name all versions each time and fill small links, or a VM never hears of a change.

const ENGINES = 63;
const engines = (seenAt: (i: number) => number): readonly {
    readonly endpoint: EndpointName;
    readonly version: number;
    readonly seenAt: number;
}[] =>
    Array.from({ length: ENGINES }, (_, i) => ({ endpoint: `e${i}` as EndpointName, version: 2, seenAt: seenAt(i) }));

const cases = [
    { name: "nothing changed: a few by turns", seenAt: () => -Infinity, most: 8, always: [] },
    { name: "old changes: a few by turns", seenAt: () => 1_000, most: 8, always: [] },
    {
        name: "a change that this VM saw is told each time",
        seenAt: (i: number) => i === 40 ? 9_000 : -Infinity,
        most: 9,
        always: ["e40"],
    },
];

cases.forEach(({ name, seenAt, most, always }) => {
    test(`held versions: ${name}`, t => {
        const tell = createHeldNews(() => engines(seenAt), () => 10_000);
        const told = Array.from({ length: Math.ceil(ENGINES / 8) }, () => tell().map(([endpoint]) => `${endpoint}`));
        told.forEach(names => {
            t.true(names.length <= most);
            always.forEach(each => t.true(names.includes(each)));
        });
        t.is(new Set(told.flat()).size, ENGINES, "each engine has its turn");
    });
});

test("held versions: none are known", t => {
    t.deepEqual(createHeldNews(() => [], () => 0)(), []);
});
