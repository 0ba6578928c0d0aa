import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { planWave } from "../../fleet/planWave.js";
import { bookOf } from "../support/bookOf.js";

// An engine that one order did not reach is never ordered again and keeps replaced weights.

/** Longest pause of an endpoint that cannot be reached. */
const LONGEST_PAUSE_MS = 2_000;

type Case = {
    readonly name: string;
    /** Orders in a row that do not reach the engine, each given when the last one's pause is over. */
    readonly unreached: number;
    readonly outdatedMs: number;
};

const cases: readonly Case[] = [
    { name: "once, while it still serves", unreached: 1, outdatedMs: 0 },
    { name: "once, when it serves nobody any more", unreached: 1, outdatedMs: 10_500 },
    { name: "six times", unreached: 6, outdatedMs: 10_500 },
];

cases.forEach(({ name, unreached, outdatedMs }) => {
    test(`orders: an engine that was not reached ${name} is ordered again after its pause`, t => {
        const { book, time, model, engine, servesForMs } = bookOf();
        const planned = (): readonly EndpointName[] =>
            planWave({ engines: book.engines(model), version: 2, servesForMs, demand: 0 });

        time.now += outdatedMs;
        t.deepEqual(planned(), [engine]);
        Array.from({ length: unreached }).forEach(() => {
            book.unreached(engine);
            t.deepEqual(planned(), [], "it is left alone during its pause");
            time.now += LONGEST_PAUSE_MS;
        });
        t.deepEqual(planned(), [engine]);
    });
});
