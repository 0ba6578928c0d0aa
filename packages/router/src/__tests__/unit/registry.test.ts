import type { EndpointName, ModelName } from "@azureshunt/core";
import test from "ava";

import { emptyRegistry } from "../../registry/emptyRegistry.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import type { RegistryEvent } from "../../registry/RegistryEvent.js";
import { stepRegistry } from "../../registry/stepRegistry.js";
import { entryOf } from "../support/entryOf.js";

const whole = (...entries: readonly EndpointEntry[]): RegistryEvent => ({ kind: "whole", entries });
const put = (each: EndpointEntry): RegistryEvent => ({ kind: "changes", changes: [{ name: each.name, entry: each }] });
const drop = (name: string): RegistryEvent => ({
    kind: "changes",
    changes: [{ name: name as EndpointName, entry: undefined }],
});
const nothing: RegistryEvent = { kind: "changes", changes: [] };

type Case = {
    readonly name: string;
    readonly events: readonly (readonly [number, RegistryEvent])[];
    readonly endpoints: readonly string[];
};

// Entries that expired while the store was unavailable count as gone, or endpoints that left still get requests.
const cases: readonly Case[] = [
    {
        name: "a dropped entry is gone",
        events: [[5_000, whole(entryOf("a"))], [5_700, nothing], [6_400, nothing], [7_100, nothing], [
            7_800,
            drop("a"),
        ]],
        endpoints: [],
    },
    {
        name: "an entry that is missing right after a gap still counts",
        events: [[0, whole(entryOf("a"))], [6_000, drop("a")], [7_000, nothing]],
        endpoints: ["a"],
    },
    {
        name: "a missing entry that returns stays",
        events: [[0, whole(entryOf("a"))], [6_000, drop("a")], [7_000, put(entryOf("a"))], [9_000, nothing]],
        endpoints: ["a"],
    },
    {
        name: "an entry that is still missing after two seconds is gone",
        events: [[0, whole(entryOf("a"))], [6_000, drop("a")], [7_000, nothing], [8_300, nothing]],
        endpoints: [],
    },
    {
        name: "a missing entry of a leaving endpoint is gone at once",
        events: [[0, whole(entryOf("a", { isLeaving: true }))], [6_000, drop("a")]],
        endpoints: [],
    },
    {
        name: "an entry that a complete list after a gap lacks still counts",
        events: [[0, whole(entryOf("a"), entryOf("b"))], [6_000, whole(entryOf("b"))]],
        endpoints: ["a", "b"],
    },
    {
        name: "an earlier incarnation does not come back",
        events: [[5_000, whole(entryOf("a", { bornAt: 9 }))], [
            5_500,
            put(entryOf("a", { bornAt: 3, isLeaving: true })),
        ]],
        endpoints: ["a"],
    },
    {
        name: "entries that the registry has lost stay until their endpoints have registered again",
        events: [
            [5_000, whole(entryOf("a"), entryOf("b"))],
            [5_600, { kind: "restarted" }],
            [5_601, whole()],
            [6_200, put(entryOf("a"))],
            [6_800, { kind: "tick" }],
        ],
        endpoints: ["a", "b"],
    },
    {
        name: "entries that the registry has lost go if their endpoints do not register again",
        events: [
            [5_000, whole(entryOf("a"), entryOf("b"))],
            [5_600, { kind: "restarted" }],
            [5_601, whole()],
            [7_700, put(entryOf("a"))],
            [7_900, { kind: "tick" }],
        ],
        endpoints: ["a"],
    },
    {
        name: "time alone drops no entry while the store is unavailable",
        events: [[0, whole(entryOf("a"))], [6_000, drop("a")], [30_000, { kind: "tick" }]],
        endpoints: ["a"],
    },
];

cases.forEach(({ name, events, endpoints }) => {
    test(`registry: ${name}`, t => {
        const registry = events.reduce((state, [at, event]) => stepRegistry(state, event, at), emptyRegistry);
        t.deepEqual([...registry.endpoints.keys()].toSorted() as string[], endpoints);
        const serving = [...registry.endpoints.values()].filter(({ entry: { isLeaving } }) => !isLeaving);
        t.deepEqual(serving.map(({ entry: { name: each } }) => each).toSorted() as string[], endpoints);
        t.true(registry.isKnown);
    });
});

// Heartbeats would otherwise have the digest and all that is derived from the entries computed anew several times a second.
test("a heartbeat that says nothing new leaves the endpoints as they are, and a change replaces the entry", t => {
    const model = "m" as ModelName;
    const holding = (version: number) => entryOf("a", { versions: new Map([[model, version]]) });
    const first = stepRegistry(emptyRegistry, whole(holding(1)), 0);
    const again = stepRegistry(first, put(holding(1)), 700);
    t.is(again.endpoints, first.endpoints);
    t.is(again.answeredAt, 700);
    const newer = stepRegistry(again, put(holding(2)), 1_400);
    t.is(newer.endpoints.get("a" as EndpointName)?.entry.versions.get(model), 2);
    const leaving = stepRegistry(newer, put(entryOf("a", { isLeaving: true })), 2_100);
    t.true(leaving.endpoints.get("a" as EndpointName)?.entry.isLeaving);
});
