import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { planWave } from "../../fleet/planWave.js";
import { endpointTableOf } from "../support/endpointTableOf.js";

// An engine that one order did not reach is never ordered again and keeps replaced weights.

/** Longest backoff of an endpoint that cannot be reached. */
const MAX_BACKOFF_MS = 2_000;

type Case = {
    readonly name: string;
    /** Consecutive orders that do not reach the engine, each issued when the backoff after the last one is over. */
    readonly unreached: number;
    readonly outdatedMs: number;
};

const cases: readonly Case[] = [
    { name: "once, while it still serves", unreached: 1, outdatedMs: 0 },
    { name: "once, when it no longer serves", unreached: 1, outdatedMs: 10_500 },
    { name: "six times", unreached: 6, outdatedMs: 10_500 },
];

cases.forEach(({ name, unreached, outdatedMs }) => {
    test(`orders: an engine that was not reached ${name} is ordered again after its backoff`, t => {
        const { endpointTable, time, model, engine, servesForMs } = endpointTableOf();
        const planned = (): readonly EndpointName[] =>
            planWave({
                engines: endpointTable.engines(model),
                model,
                version: 2,
                servesForMs,
                demand: 0,
                mayOrder: () => true,
            });

        time.now += outdatedMs;
        t.deepEqual(planned(), [engine]);
        Array.from({ length: unreached }).forEach(() => {
            endpointTable.recordUnreached(engine);
            t.deepEqual(planned(), [], "it is not ordered during its backoff");
            time.now += MAX_BACKOFF_MS;
        });
        t.deepEqual(planned(), [engine]);
    });
});
