import type { EndpointName, ModelName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createOutdatedGauges } from "../../fleet/createOutdatedGauges.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import type { EndpointTable } from "../../placement/EndpointTable.js";
import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

const alpha = "alpha" as ModelName;
const beta = "beta" as ModelName;
const engine = "e" as EndpointName;
const peer = "vm-2" as VmId;
const AGE_MS = 300;

const declaredState = [alpha, beta].reduce(
    (state, model) => stepDeclaredState(state, { kind: "weights", model, version: 2 }, 1_000),
    initialDeclaredState,
);

/** A table whose engine states version 1 of both models, and what was learned of it since. */
const tableAfter = (learn: (endpointTable: EndpointTable) => void) => {
    const { endpointTable, time } = endpointTableOf(undefined, { declaredState: () => declaredState });
    const entry = entryOf(engine, { versions: new Map([[alpha, 1], [beta, 1]]) });
    endpointTable.applyRegistryEvent({
        kind: "changes",
        changes: [{ name: engine, entry }],
        readAsOf: time.now,
    });
    learn(endpointTable);
    time.now += AGE_MS;
    return { endpointTable, entry };
};

const cases = [
    { name: "the entry", learn: () => undefined, basis: { version: 1, by: "entry", ageMs: AGE_MS } },
    {
        name: "the engine",
        learn: (table: EndpointTable) => table.observeWeights(engine, { model: alpha, version: 2 }),
        basis: { version: 2, by: "engine", ageMs: AGE_MS },
    },
    {
        name: "a peer",
        learn: (table: EndpointTable) => void table.receiveWeights(engine, { model: alpha, version: 2 }, peer),
        basis: { version: 2, by: peer, ageMs: AGE_MS },
    },
    {
        name: "the entry, beside an answer for another model",
        learn: (table: EndpointTable) => table.observeWeights(engine, { model: beta, version: 2 }),
        basis: { version: 1, by: "entry", ageMs: AGE_MS },
    },
];

// Guards against lines that do not tell by which model's version, known by whom, a request was refused.
cases.forEach(({ name, learn, basis }) => {
    test(`weights basis: the version that decides was stated by ${name}`, t => {
        const { endpointTable, entry } = tableAfter(learn);
        t.like(endpointTable.weightsBasis(entry, alpha), {
            ...basis,
            endpoint: entry.name,
            model: alpha,
            entryVersion: 1,
        });
    });
});

// Guards against metrics of a rollout of weights that do not tell the model.
test("outdated gauges: each model has its own count", t => {
    const { endpointTable } = tableAfter(table => table.observeWeights(engine, { model: alpha, version: 2 }));
    const metrics = createMetrics();
    const gauges = createOutdatedGauges({ metrics, declaredState: () => declaredState, endpointTable });
    gauges.tick();
    gauges.tick();
    t.regex(metrics.render(), /azureshunt_outdated_engines\{model="alpha"\} 0\n/);
    t.regex(metrics.render(), /azureshunt_outdated_engines\{model="beta"\} 1\n/);
    gauges.stop();
    t.notRegex(metrics.render(), /outdated_engines\{/);
});
