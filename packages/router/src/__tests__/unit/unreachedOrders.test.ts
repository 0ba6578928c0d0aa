import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { planWave } from "../../fleet/planWave.js";
import { bookOf } from "../support/bookOf.js";

/*
 * With dozens of engines, half of them kept replaced weights for the rest of the day, and callers of the other half waited
 * or failed. The VM with the order lease had tried to order them in one second and had not reached them; nobody was down.
 * It then took them for unreachable until a request of its own callers reached them, but engines on old weights get none.
 * So it renewed its lease and gave no order:
 *
 *   19.4783 front-bv-a-2 fleet: Order given. endpoint=i-1cfe4c66d4 version=4 fence=21 ordersTaken=2 answer=unreached
 *   29.211 s  front-bv-a-1 order i-83c23fd787: holder "front-bv-a-1", fence 28: 202      (the last order of the day)
 *   29.966 s  front-bv-a-1 POST /log-append: 200                                         (and 17 more, every 0.8 s)
 */

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
