import type { EndpointName, ModelName } from "@azureshunt/core";
import test from "ava";

import { createVersionSelector } from "../../peers/createVersionSelector.js";
import type { EndpointTable } from "../../placement/EndpointTable.js";
import { entryOf } from "../support/entryOf.js";

// If each beacon lists all versions, beacons of dozens of VMs fill small links; if it omits too many, a VM misses a
// change.

const ENGINES = 63;
const model = "model" as ModelName;
const other = "other" as ModelName;
const engines = (learnedAt: (i: number) => number): ReturnType<EndpointTable["engineVersions"]> =>
    Array.from(
        { length: ENGINES },
        (_, i) => ({ endpoint: `e${i}` as EndpointName, weights: { model, version: 2 }, learnedAt: learnedAt(i) }),
    );
const entryWith = (...models: readonly ModelName[]): EndpointTable["entryOf"] => endpoint =>
    entryOf(endpoint, { versions: new Map(models.map(each => [each, 1])) });

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
        const select = createVersionSelector(
            { engineVersions: () => engines(learnedAt), entryOf: entryWith(model) },
            () => 10_000,
        );
        const sent = Array.from({ length: Math.ceil(ENGINES / 8) }, () => select().map(([endpoint]) => `${endpoint}`));
        sent.forEach(names => {
            t.true(names.length <= most);
            always.forEach(each => t.true(names.includes(each)));
        });
        t.is(new Set(sent.flat()).size, ENGINES, "each engine is sent at least once");
    });
});

test("engine versions: none if none are known", t => {
    t.deepEqual(createVersionSelector({ engineVersions: () => [], entryOf: entryWith(model) }, () => 0)(), []);
});

// Guards against versions that are taken for those of another model, and against rows that name a model without need.
const rows = [
    { name: "the only model that an engine serves is not named", models: [model], row: ["e0", 2] },
    { name: "one of several models is named", models: [model, other], row: ["e0", 2, model] },
    { name: "a model that the entry does not state is named", models: [other], row: ["e0", 2, model] },
];
rows.forEach(({ name, models, row }) => {
    test(`engine versions: ${name}`, t => {
        const table = { engineVersions: () => engines(() => 0).slice(0, 1), entryOf: entryWith(...models) };
        t.deepEqual(createVersionSelector(table, () => 0)() as unknown, [row]);
    });
});
