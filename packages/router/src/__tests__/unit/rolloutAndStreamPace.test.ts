import type { ModelName } from "@azureshunt/core";
import test from "ava";

import { rolloutOf } from "../../fleet/rolloutOf.js";
import { createStreamPace } from "../../serve/createStreamPace.js";
import { engineOf } from "../support/engineOf.js";

const model = "model" as ModelName;
const order = { model, version: 2, issuedAt: 0, seenAt: 0, isOwn: true };
const otherOrder = { ...order, model: "other" as ModelName };

const rollouts = [
    {
        name: "all engines are up to date: none is counted",
        engines: [engineOf("e", { version: 2 })],
        expected: { outdated: 0, ordered: 0, otherwiseOrdered: 0, unreachable: 0 },
    },
    {
        name: "an engine without an order is outdated",
        engines: [engineOf("e", {})],
        expected: { outdated: 1, ordered: 0, otherwiseOrdered: 0, unreachable: 0 },
    },
    {
        name: "an engine that carries out an order is ordered",
        engines: [engineOf("e", { order })],
        expected: { outdated: 1, ordered: 1, otherwiseOrdered: 0, unreachable: 0 },
    },
    {
        name: "an engine that carries out an order for another model is counted apart",
        engines: [engineOf("e", { order: otherOrder })],
        expected: { outdated: 1, ordered: 0, otherwiseOrdered: 1, unreachable: 0 },
    },
    {
        name: "an outdated engine that is down is unreachable, an up-to-date one is not counted",
        engines: [engineOf("e", { isUp: false }), engineOf("e", { version: 2, isUp: false })],
        expected: { outdated: 1, ordered: 0, otherwiseOrdered: 0, unreachable: 1 },
    },
];

rollouts.forEach(({ name, engines, expected }) => {
    test(`rollout: ${name}`, t => {
        t.deepEqual(rolloutOf(engines, { model, version: 2 }), expected);
    });
});

/** When events arrived, in milliseconds. */
const paces = [
    { name: "without events there is no gap", events: [], gapMs: 0 },
    { name: "a gap between two events is measured as such", events: [0, 700, 720], gapMs: 700 },
    { name: "events that arrive together have none", events: [0, 0, 20, 40], gapMs: 20 },
] as const;

paces.forEach(({ name, events, gapMs }) => {
    test(`stream pace: ${name}`, t => {
        const pace = createStreamPace({ maxWaitMs: () => 350 });
        events.forEach(pace.recordEvents);
        t.is(pace.maxGapMs(), gapMs);
        t.is(pace.maxSendMs(), 350);
    });
});
