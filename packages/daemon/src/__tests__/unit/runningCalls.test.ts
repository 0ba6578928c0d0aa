import { EndpointName, Incarnation } from "@azureshunt/core";
import test from "ava";

import type { Call } from "../../ports/Call.js";
import { createRunningCalls } from "../../suspects/createRunningCalls.js";

const ENDPOINT = EndpointName.parse("engine");
const placeAt = (incarnation: string) => ({ endpoint: ENDPOINT, incarnation: Incarnation.parse(incarnation) });

type Case = {
    readonly name: string;
    /** The incarnation that the call was sent to, and the one whose death is queried. */
    readonly incarnation: string;
    readonly queried: string;
    readonly afterMs: number;
    readonly isListed: boolean;
};

// A VM that is queried late must neither answer that nothing ran there, nor list calls of an earlier incarnation's
// death.
const cases: readonly Case[] = [
    { name: "queried at once → listed", incarnation: "run-1", queried: "run-1", afterMs: 0, isListed: true },
    { name: "queried 20 s later → listed", incarnation: "run-1", queried: "run-1", afterMs: 20_000, isListed: true },
    {
        name: "queried after expiry → not listed",
        incarnation: "run-1",
        queried: "run-1",
        afterMs: 60_001,
        isListed: false,
    },
    {
        name: "death of another incarnation, at once → listed",
        incarnation: "run-1",
        queried: "run-2",
        afterMs: 0,
        isListed: true,
    },
    {
        name: "death of the next incarnation, 20 s later → not listed",
        incarnation: "run-1",
        queried: "run-2",
        afterMs: 20_000,
        isListed: false,
    },
];

cases.forEach(({ name, incarnation, queried, afterMs, isListed }) =>
    test(`running calls: running when the endpoint died, ${name}`, t => {
        const clock = { now: 0 };
        const calls = createRunningCalls(() => clock.now);
        calls.add({} as Call, placeAt(incarnation)).end(true);
        clock.now = afterMs;
        t.is(calls.runningAtDeath(`engine/${queried}`, ENDPOINT, clock.now).length === 1, isListed);
    })
);
