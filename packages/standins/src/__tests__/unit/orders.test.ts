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
    { name: "an old number is refused where it is checked", fencing: 4, checks: true, kind: "refused" },
    { name: "an old number is executed where it is not", fencing: 4, checks: false, kind: "executed" },
    { name: "the same number is executed", fencing: 5, checks: true, kind: "executed" },
].forEach(({ name, fencing, checks, kind }) =>
    test(`orders: ${name}`, t => {
        t.is(applyOrder(WEIGHTS, order({ fencing }), checks).kind, kind as "refused" | "executed");
    })
);

[
    {
        name: "a load begins",
        given: order({}),
        expected: { holds: [V1], loading: [V2], role: "serve", load: V2, unloaded: false },
    },
    {
        name: "a load of what is held changes nothing",
        given: order(V1),
        expected: { holds: [V1], loading: [], role: "serve", load: undefined, unloaded: false },
    },
    {
        name: "an unload",
        given: order({ action: "unload", ...V1 }),
        expected: { holds: [], loading: [], role: "serve", load: undefined, unloaded: true },
    },
    {
        name: "an unload of what is not held changes nothing",
        given: order({ action: "unload" }),
        expected: { holds: [V1], loading: [], role: "serve", load: undefined, unloaded: false },
    },
    {
        name: "a role",
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
    { name: "it is held then", loading: [V2], succeeded: true, holds: [V1, V2] },
    { name: "a failed one may be ordered again", loading: [V2], succeeded: false, holds: [V1] },
    { name: "unloaded in the meantime", loading: [], succeeded: true, holds: [V1] },
].forEach(({ name, loading, succeeded, holds }) =>
    test(`end of a load: ${name}`, t => {
        const ended = endLoad({ ...WEIGHTS, loading }, V2, succeeded);
        t.deepEqual(ended.holds, holds);
        t.deepEqual(ended.loading, []);
    })
);

[
    { name: "by version", wanted: { model: "advisor", adapter: undefined, version: "v1" }, kind: "held" },
    { name: "any version", wanted: { model: "advisor", adapter: undefined, version: undefined }, kind: "held" },
    { name: "another version", wanted: { model: "advisor", adapter: undefined, version: "v2" }, kind: "version" },
    { name: "an adapter", wanted: { model: "advisor", adapter: "winter", version: "v1" }, kind: "held" },
    { name: "another adapter", wanted: { model: "advisor", adapter: "rain", version: "v1" }, kind: "version" },
    { name: "another model", wanted: { model: "planner", adapter: undefined, version: "v1" }, kind: "unknown" },
].forEach(({ name, wanted, kind }) =>
    test(`weights asked for: ${name}`, t => {
        t.is(findHolding(parseHolds("advisor@v1,advisor:winter@v1"), wanted).kind, kind as "held");
    })
);
