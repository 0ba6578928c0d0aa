import type { ModelName } from "@azureshunt/core";
import test from "ava";

import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

// An engine that loaded older weights again is taken to hold the newer ones: it rejects all requests and gets no order.

const model = "model" as ModelName;

type Event =
    /** A registry read that finds the engine on a version. */
    | { readonly kind: "entry"; readonly version: number; }
    /** The engine's own answer, or a row of a peer's beacon. */
    | { readonly kind: "answer" | "peer"; readonly version: number; };
type Case = {
    readonly name: string;
    readonly events: readonly (readonly [atMs: number, event: Event])[];
    readonly version: number;
};

const entry = (version: number): Event => ({ kind: "entry", version });
const answer = (version: number): Event => ({ kind: "answer", version });
const peer = (version: number): Event => ({ kind: "peer", version });

const cases: readonly Case[] = [
    {
        name: "an answer goes before an entry that is not newer",
        events: [[0, answer(2)], [1_000, entry(1)]],
        version: 2,
    },
    { name: "the entry goes before an answer of long ago", events: [[0, answer(2)], [5_000, entry(1)]], version: 1 },
    {
        name: "repeated answers go before the entry",
        events: [[0, answer(2)], [3_000, answer(2)], [5_000, entry(1)]],
        version: 2,
    },
    { name: "the entry goes before a peer's row of long ago", events: [[0, peer(2)], [5_000, entry(1)]], version: 1 },
    {
        name: "a peer that repeats what the entry contradicted is not believed",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, peer(2)]],
        version: 1,
    },
    {
        name: "a peer's newer version is believed",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, peer(3)]],
        version: 3,
    },
    {
        name: "the engine's own answer is believed again",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, answer(2)]],
        version: 2,
    },
];

cases.forEach(({ name, events, version }) => {
    test(`engine on older weights: ${name}`, t => {
        const { endpointTable, time, engine } = endpointTableOf();
        const startedAt = time.now;
        events.forEach(([atMs, event]) => {
            time.now = startedAt + atMs;
            if (event.kind === "entry") {
                const stated = entryOf(engine, { versions: new Map([[model, event.version]]) });
                endpointTable.applyRegistryEvent({ kind: "changes", changes: [{ name: engine, entry: stated }] });
            }
            else if (event.kind === "answer") {
                endpointTable.observeWeights(engine, event.version);
            }
            else {
                endpointTable.receiveWeights(engine, event.version);
            }
        });
        t.is(endpointTable.engines(model)[0]?.version, version);
    });
});
