import type { ModelName } from "@azureshunt/core";
import test from "ava";

import type { EngineWeights } from "../../fleet/EngineWeights.js";
import { planWave } from "../../fleet/planWave.js";
import { engineOf } from "../support/engineOf.js";

const enginesOf = (count: number, more: Partial<EngineWeights> = {}): readonly EngineWeights[] =>
    Array.from({ length: count }, (_, i) => engineOf(`e${i}`, more));
const model = "model" as ModelName;
const order = { model, version: 2, issuedAt: 0, seenAt: 0, isOwn: true };
const otherOrder = { ...order, model: "other" as ModelName };

type Case = {
    readonly name: string;
    readonly engines: readonly EngineWeights[];
    readonly demand: number;
    readonly orders: number | readonly string[];
    /** Engines that must not be ordered now. */
    readonly heldBack?: readonly string[];
};

// Too many engines are out of service for new weights at once, or some stay on old weights until these no longer serve.
const cases: readonly Case[] = [
    { name: "orders a quarter of the engines at low demand", engines: enginesOf(13), demand: 100, orders: 4 },
    { name: "orders the engines that high demand leaves to spare", engines: enginesOf(13), demand: 600, orders: 4 },
    {
        name: "orders fewer at high demand while engines are down",
        engines: enginesOf(13).map((each, i) => ({ ...each, isUp: i > 5 })),
        demand: 300,
        orders: 2,
    },
    { name: "orders more at once if late", engines: enginesOf(12, { outdatedMs: 4_000 }), demand: 2_000, orders: 6 },
    {
        name: "orders half of the engines if too late, so that the others serve",
        engines: enginesOf(4, { outdatedMs: 7_500 }),
        demand: 2_000,
        orders: 2,
    },
    {
        name: "orders all engines that no longer serve",
        engines: enginesOf(4, { outdatedMs: 8_500 }),
        demand: 2_000,
        orders: 4,
    },
    {
        name: "lets the few late engines decide the number if the weights of many were just replaced",
        engines: enginesOf(12).map((each, i) => ({ ...each, outdatedMs: i < 3 ? 4_000 : 100 })),
        demand: 2_000,
        orders: 4,
    },
    { name: "orders a single engine", engines: enginesOf(1), demand: 100, orders: 1 },
    {
        name: "counts engines that are already out of service",
        engines: enginesOf(8).map((each, i) => i < 1 ? { ...each, order } : each),
        demand: 10,
        orders: 1,
    },
    {
        name: "orders the oldest weights first, then the fewest runs",
        engines: [
            engineOf("busy", { running: 9 }),
            engineOf("newer", { version: 2 }),
            engineOf("idle"),
            engineOf("done", { version: 3 }),
            ...enginesOf(4, { version: 3 }),
        ],
        demand: 0,
        orders: ["idle", "busy"],
    },
    {
        name: "orders another engine in place of one that is held back",
        engines: [engineOf("held"), engineOf("other"), ...enginesOf(2, { version: 3 })],
        demand: 0,
        orders: ["other"],
        heldBack: ["held"],
    },
    {
        name: "orders other engines than those that load weights of another model",
        engines: enginesOf(8).map((each, i) => i < 2 ? { ...each, order: otherOrder } : each),
        demand: 10,
        orders: ["e2", "e3"],
    },
    {
        name: "does not count an engine as out of service that loads weights of another model",
        engines: enginesOf(3).map((each, i) => i < 1 ? { ...each, order: otherOrder } : each),
        demand: 10,
        orders: ["e1"],
    },
    {
        name: "orders none while one half load weights, of whichever model",
        engines: enginesOf(8).map((each, i) => i < 4 ? { ...each, order: i < 1 ? order : otherOrder } : each),
        demand: 10,
        orders: 0,
    },
    {
        name: "counts an order whose model is not known",
        engines: enginesOf(8).map((each, i) => i < 2 ? { ...each, order: { ...order, model: undefined } } : each),
        demand: 10,
        orders: 0,
    },
];

cases.forEach(({ name, engines, demand, orders, heldBack = [] }) => {
    test(`planWave: ${name}`, t => {
        const planned = planWave({
            engines,
            model,
            version: 3,
            demand,
            servesForMs: 8_500,
            mayOrder: ({ endpoint }) => !heldBack.includes(endpoint),
        });
        if (typeof orders === "number") {
            t.is(planned.length, orders);
            return;
        }
        t.deepEqual(planned as readonly string[], orders);
    });
});
