import type { EndpointName, ModelName, VmId } from "@azureshunt/core";
import test from "ava";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

// Guards against a version of one model that is taken for one of another at the same engine: requests for the other are
// rejected, and its own new weights are never ordered.

const alpha = "alpha" as ModelName;
const beta = "beta" as ModelName;
const engine = "e" as EndpointName;

type Stated = { readonly alpha?: number; readonly beta?: number; };
type Event =
    /** A read of the engine's entry. */
    | { readonly kind: "entry"; readonly stated: Stated; }
    /** A peer's digest confirms the entries. */
    | { readonly kind: "digest"; }
    | { readonly kind: "answer"; readonly model: ModelName; readonly version: number; }
    /** A row of a peer's beacon; VMs of earlier versions name no model. */
    | { readonly kind: "row"; readonly model: ModelName | undefined; readonly version: number; };
type Case = {
    readonly name: string;
    readonly events: readonly (readonly [atMs: number, event: Event])[];
    /** Versions that the engine is taken to hold in the end. */
    readonly versions: Stated;
    /** Whether the VM has to read the entries in the end. */
    readonly isReadDue?: boolean;
};

const entry = (stated: Stated): Event => ({ kind: "entry", stated });
const digest: Event = { kind: "digest" };
const answer = (model: ModelName, version: number): Event => ({ kind: "answer", model, version });
const row = (version: number, model?: ModelName): Event => ({ kind: "row", model, version });

const cases: readonly Case[] = [
    {
        name: "an answer for one says nothing of the other",
        events: [[0, entry({ alpha: 1, beta: 1 })], [10, answer(alpha, 2)]],
        versions: { alpha: 2, beta: 1 },
    },
    {
        name: "a peer's row for one says nothing of the other",
        events: [[0, entry({ alpha: 1, beta: 1 })], [10, row(2, beta)]],
        versions: { alpha: 1, beta: 2 },
    },
    {
        name: "a row that names no model says nothing",
        events: [[0, entry({ alpha: 1, beta: 1 })], [10, row(2)]],
        versions: { alpha: 1, beta: 1 },
    },
    {
        name: "a row that names no model is of the only one",
        events: [[0, entry({ beta: 1 })], [10, row(2)]],
        versions: { beta: 2 },
    },
    {
        name: "one is far ahead of the other",
        events: [[0, entry({ alpha: 1, beta: 1 })], [10, answer(alpha, 5)], [20, answer(beta, 2)], [30, row(3, beta)]],
        versions: { alpha: 5, beta: 3 },
    },
    {
        name: "older weights of the lower one are noticed beside newer ones of the other",
        events: [
            [0, entry({ alpha: 5, beta: 2 })],
            [10, answer(beta, 3)],
            [20, entry({ alpha: 5, beta: 3 })],
            [5_000, entry({ alpha: 5, beta: 2 })],
        ],
        versions: { alpha: 5, beta: 2 },
    },
    {
        name: "the versions of one are distrusted apart from those of the other",
        events: [
            [0, entry({ alpha: 1, beta: 1 })],
            [10, row(4, alpha)],
            [5_000, entry({ alpha: 1, beta: 1 })],
            [5_010, row(4, alpha)],
            [5_020, row(3, beta)],
        ],
        versions: { alpha: 1, beta: 3 },
    },
    {
        name: "one that is confirmed does not confirm the other",
        events: [
            [0, entry({ alpha: 1, beta: 1 })],
            [10, row(2, alpha)],
            [20, answer(beta, 2)],
            [4_500, answer(beta, 2)],
            [4_600, digest],
        ],
        versions: { alpha: 2, beta: 2 },
        isReadDue: true,
    },
    {
        name: "one that peers know here, but the entry does not state, has to be read",
        events: [[0, entry({ alpha: 2 })], [10, row(2, beta)], [4_500, digest]],
        versions: { alpha: 2 },
        isReadDue: true,
    },
    {
        name: "one has appeared",
        events: [[0, entry({ alpha: 2 })], [10, row(3, beta)], [4_500, entry({ alpha: 2, beta: 3 })]],
        versions: { alpha: 2, beta: 3 },
    },
    {
        name: "one has left",
        events: [[0, entry({ alpha: 2, beta: 2 })], [10, answer(beta, 3)], [4_500, entry({ alpha: 2 })]],
        versions: { alpha: 2 },
    },
];

cases.forEach(({ name, events, versions, isReadDue }) => {
    test(`engine with two models: ${name}`, t => {
        const declaredState = [alpha, beta].reduce(
            (state, model) => stepDeclaredState(state, { kind: "weights", model, version: 2 }, 0),
            initialDeclaredState,
        );
        const { endpointTable, time } = endpointTableOf(undefined, { declaredState: () => declaredState });
        const startedAt = time.now;
        events.forEach(([atMs, event]) => {
            time.now = startedAt + atMs;
            switch (event.kind) {
                case "entry": {
                    const stated = entryOf(engine, {
                        versions: new Map(Object.entries(event.stated) as [ModelName, number][]),
                    });
                    const changes = [{ name: engine, entry: stated }];
                    return endpointTable.applyRegistryEvent({ kind: "changes", changes, readAsOf: time.now });
                }
                case "digest":
                    return endpointTable.applyRegistryEvent({ kind: "vouched", asOf: time.now });
                case "answer":
                    return endpointTable.observeWeights(engine, event);
                case "row":
                    return void endpointTable.receiveWeights(engine, event, "peer" as VmId);
            }
        });
        const known = [alpha, beta].flatMap(model =>
            endpointTable.engines(model).map(({ version }) => [model, version])
        );
        t.deepEqual(Object.fromEntries(known), versions);
        t.is(endpointTable.areVersionsInDoubt(), isReadDue ?? false);
    });
});
