import test from "ava";

import { applyOrder } from "../../engine/applyOrder.js";
import { endLoad } from "../../engine/endLoad.js";
import { findHolding } from "../../engine/findHolding.js";
import type { Order } from "../../engine/Order.js";
import { parseHolds } from "../../engine/parseHolds.js";
import type { Weights } from "../../engine/Weights.js";

const V1 = { model: "advisor", adapter: undefined, version: "v1" };
const V2 = { ...V1, version: "v2" };
const WEIGHTS: Weights = { holds: [V1], loading: [], role: "serve", fencing: 5 };

const order = (given: Partial<Order>): Order => ({ orderId: "o", fencing: 5, action: "load", ...V2, ...given });

[
    { name: "an old fencing number is refused if it is checked", fencing: 4, checks: true, kind: "refused" },
    { name: "an old fencing number is executed if it is not checked", fencing: 4, checks: false, kind: "executed" },
    { name: "the same fencing number is executed", fencing: 5, checks: true, kind: "executed" },
].forEach(({ name, fencing, checks, kind }) =>
    test(`orders: ${name}`, t => {
        t.is(applyOrder(WEIGHTS, order({ fencing }), checks).kind, kind as "refused" | "executed");
    })
);

[
    {
        name: "a load of new weights begins",
        given: order({}),
        expected: { holds: [V1], loading: [V2], role: "serve", load: V2, unloaded: false },
    },
    {
        name: "a load of weights already held changes nothing",
        given: order(V1),
        expected: { holds: [V1], loading: [], role: "serve", load: undefined, unloaded: false },
    },
    {
        name: "an unload removes the weights",
        given: order({ action: "unload", ...V1 }),
        expected: { holds: [], loading: [], role: "serve", load: undefined, unloaded: true },
    },
    {
        name: "an unload of weights not held changes nothing",
        given: order({ action: "unload" }),
        expected: { holds: [V1], loading: [], role: "serve", load: undefined, unloaded: false },
    },
    {
        name: "a role order changes the role",
        given: order({ action: "role", role: "prefill" }),
        expected: { holds: [V1], loading: [], role: "prefill", load: undefined, unloaded: false },
    },
].forEach(({ name, given, expected }) =>
    test(`orders: ${name}`, t => {
        const result = applyOrder(WEIGHTS, given, true);
        if (result.kind === "refused") {
            t.fail("refused");
            return;
        }
        const { holds, loading, role } = result.weights;
        t.deepEqual({ holds, loading, role, load: result.load, unloaded: result.unloaded }, expected);
    })
);

[
    { name: "loaded weights are held", loading: [V2], succeeded: true, holds: [V1, V2] },
    { name: "weights that failed to load are neither held nor loading", loading: [V2], succeeded: false, holds: [V1] },
    { name: "weights unloaded in the meantime are not held", loading: [], succeeded: true, holds: [V1] },
].forEach(({ name, loading, succeeded, holds }) =>
    test(`end of a load: ${name}`, t => {
        const ended = endLoad({ ...WEIGHTS, loading }, V2, succeeded);
        t.deepEqual(ended.holds, holds);
        t.deepEqual(ended.loading, []);
    })
);

[
    { name: "found by version", wanted: { model: "advisor", adapter: undefined, version: "v1" }, kind: "held" },
    {
        name: "any version is found without one",
        wanted: { model: "advisor", adapter: undefined, version: undefined },
        kind: "held",
    },
    {
        name: "another version is missing",
        wanted: { model: "advisor", adapter: undefined, version: "v2" },
        kind: "missing-weights",
    },
    { name: "an adapter is found", wanted: { model: "advisor", adapter: "winter", version: "v1" }, kind: "held" },
    {
        name: "another adapter is missing",
        wanted: { model: "advisor", adapter: "rain", version: "v1" },
        kind: "missing-weights",
    },
    {
        name: "another model is unknown",
        wanted: { model: "planner", adapter: undefined, version: "v1" },
        kind: "unknown-model",
    },
].forEach(({ name, wanted, kind }) =>
    test(`weights asked for: ${name}`, t => {
        t.is(findHolding(parseHolds("advisor@v1,advisor:winter@v1"), wanted).kind, kind as "held");
    })
);
