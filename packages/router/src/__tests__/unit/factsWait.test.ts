import { setImmediate as nextTurn } from "node:timers/promises";

import { refusalOf } from "@azureshunt/core";
import type { Refusal } from "@azureshunt/core";
import test from "ava";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { createFactsWait } from "../../serve/createFactsWait.js";
import { createVirtualTime } from "../support/createVirtualTime.js";

const TOO_OLD = Left(refusalOf("configuration-too-old"));
const SERVED = Right("served");
const [STEPS, STEP_MS, EARLY_MS] = [200, 10, 0.5] as const;

type Case = {
    readonly name: string;
    /** When the process has paused and when facts are confirmed, from the request's arrival on. */
    readonly pausedAt?: number;
    readonly confirmedAt?: number;
    readonly deadline?: number;
    readonly ends: readonly [at: number, end: string];
};

const cases: readonly Case[] = [
    { name: "facts are confirmed soon after the pause", pausedAt: 0, confirmedAt: 40, ends: [40, "served"] },
    { name: "facts are not confirmed", pausedAt: 0, ends: [500 - EARLY_MS, "configuration-too-old"] },
    { name: "the pause is long over", pausedAt: -600, confirmedAt: 40, ends: [0, "configuration-too-old"] },
    { name: "no pause", confirmedAt: 40, ends: [0, "configuration-too-old"] },
    {
        name: "its time is up before facts are due",
        pausedAt: 0,
        confirmedAt: 40,
        deadline: 300,
        ends: [0, "configuration-too-old"],
    },
];

// Guards against refusals by facts that are old only because the process did not run, and against requests held in vain.
cases.forEach(({ name, pausedAt, confirmedAt, deadline = 9_000, ends }) => {
    test(`facts wait: ${name}`, async t => {
        const time = createVirtualTime();
        const state = { isFresh: false };
        // Timers of a process may fire a fraction of a millisecond early.
        const wait = createFactsWait({
            clock: time.clock,
            schedule: (delayMs, run) => void time.schedule(delayMs - EARLY_MS, run),
        });
        const start = 1_000;
        if (pausedAt !== undefined) {
            time.schedule(start + pausedAt, wait.recordPause);
        }
        if (confirmedAt !== undefined) {
            time.schedule(start + confirmedAt, () => {
                state.isFresh = true;
                wait.recordConfirmed();
            });
        }
        const decision = (): Either<Refusal, string> => state.isFresh ? SERVED : TOO_OLD;
        const seen: (readonly [number, string])[] = [];
        time.schedule(start, () => {
            void Promise.resolve(wait.decide(decision, start + deadline)).then(decided =>
                seen.push([time.clock.now() - start, decided.mapLeft(({ kind }) => kind as string).extract()])
            );
        });
        for (const step of Array.from({ length: STEPS }).keys()) {
            time.runUntil(step * STEP_MS);
            await nextTurn();
        }
        t.deepEqual(seen, [ends]);
    });
});
