import test from "ava";

import type { EngineWeights } from "../../fleet/EngineWeights.js";
import { planWave } from "../../fleet/planWave.js";
import { engineOf } from "../support/engineOf.js";

const fleet = (count: number, more: Partial<EngineWeights> = {}): readonly EngineWeights[] =>
    Array.from({ length: count }, (_, i) => engineOf(`e${i}`, more));
const order = { version: 2, givenAt: 0, seenAt: 0, isOwn: true };

type Case = {
    readonly name: string;
    readonly engines: readonly EngineWeights[];
    readonly demand: number;
    readonly orders: number | readonly string[];
};

// Too many engines are away for new weights at once, or some stay on old ones until these serve nobody.
const cases: readonly Case[] = [
    { name: "quiet: a quarter of them", engines: fleet(13), demand: 100, orders: 4 },
    { name: "busy: what the demand leaves over", engines: fleet(13), demand: 600, orders: 4 },
    {
        name: "busy, and engines down",
        engines: fleet(13).map((each, i) => ({ ...each, isUp: i > 5 })),
        demand: 300,
        orders: 2,
    },
    { name: "late: more at once", engines: fleet(12, { outdatedMs: 4_000 }), demand: 2_000, orders: 6 },
    {
        name: "too late: half of them, so that somebody serves",
        engines: fleet(4, { outdatedMs: 7_500 }),
        demand: 2_000,
        orders: 2,
    },
    {
        name: "those that serve nobody any more: all of them",
        engines: fleet(4, { outdatedMs: 8_500 }),
        demand: 2_000,
        orders: 4,
    },
    {
        name: "few are late, many were replaced just now: the late ones set the pace",
        engines: fleet(12).map((each, i) => ({ ...each, outdatedMs: i < 3 ? 4_000 : 100 })),
        demand: 2_000,
        orders: 4,
    },
    { name: "one engine alone goes as well", engines: fleet(1), demand: 100, orders: 1 },
    {
        name: "those away count",
        engines: fleet(8).map((each, i) => i < 1 ? { ...each, order } : each),
        demand: 10,
        orders: 1,
    },
    {
        name: "the oldest weights first, then the fewest runs",
        engines: [
            engineOf("busy", { running: 9 }),
            engineOf("newer", { version: 2 }),
            engineOf("idle"),
            engineOf("done", { version: 3 }),
            ...fleet(4, { version: 3 }),
        ],
        demand: 0,
        orders: ["idle", "busy"],
    },
];

cases.forEach(({ name, engines, demand, orders }) => {
    test(`planWave: ${name}`, t => {
        const planned = planWave({ engines, version: 3, demand, servesForMs: 8_500 });
        if (typeof orders === "number") {
            t.is(planned.length, orders);
            return;
        }
        t.deepEqual(planned as readonly string[], orders);
    });
});
