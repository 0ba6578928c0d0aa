import { EndpointName, Incarnation } from "@azureshunt/core";
import test from "ava";

import type { Call } from "../../ports/Call.js";
import { createRunningCalls } from "../../suspects/createRunningCalls.js";

const ENDPOINT = EndpointName.parse("engine");
const placeAt = (run: string) => ({ endpoint: ENDPOINT, incarnation: Incarnation.parse(run) });

type Case = {
    readonly name: string;
    /** The run that the call died with, and the run whose death is asked about. */
    readonly run: string;
    readonly asked: string;
    readonly afterMs: number;
    readonly isPresent: boolean;
};

// A VM that is asked late says that nothing ran there, or tells of calls that died with an earlier run of the engine.
const cases: readonly Case[] = [
    { name: "asked at once", run: "run-1", asked: "run-1", afterMs: 0, isPresent: true },
    { name: "asked long after", run: "run-1", asked: "run-1", afterMs: 20_000, isPresent: true },
    { name: "asked when it is forgotten", run: "run-1", asked: "run-1", afterMs: 60_001, isPresent: false },
    { name: "another run, at once", run: "run-1", asked: "run-2", afterMs: 0, isPresent: true },
    { name: "the next run's death", run: "run-1", asked: "run-2", afterMs: 20_000, isPresent: false },
];

cases.forEach(({ name, run, asked, afterMs, isPresent }) =>
    test(`running calls: present at a death, ${name}`, t => {
        const clock = { now: 0 };
        const calls = createRunningCalls(() => clock.now);
        calls.add({} as Call, placeAt(run)).end(true);
        clock.now = afterMs;
        t.is(calls.presentAt(`engine/${asked}`, ENDPOINT, clock.now).length === 1, isPresent);
    })
);
