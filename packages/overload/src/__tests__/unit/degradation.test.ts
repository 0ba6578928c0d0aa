import test from "ava";

import type { Degradation } from "../../Degradation.js";
import { degradedFraction } from "../../degradedFraction.js";
import { initialDegradation } from "../../initialDegradation.js";
import { stepDegradation } from "../../stepDegradation.js";

const OBJECTIVE_MS = 800;
const OBSERVE_MS = 100;
const [LONG, MEDIUM, SHORT] = [400, 200, 50];

/** For some time: which fraction of the endpoints is not silent, and the queue at the others. */
type Phase = readonly [forMs: number, available: number, queueMs: number];

const statesAfter = (phases: readonly Phase[]): readonly (Degradation & { readonly at: number; })[] =>
    phases.flatMap(phase => Array.from({ length: phase[0] / OBSERVE_MS }, () => phase))
        .reduce<readonly (Degradation & { readonly at: number; })[]>((states, [, available, queueMs], i) => {
            const at = i * OBSERVE_MS;
            const observation = { available, queueMs, objectiveMs: OBJECTIVE_MS };
            return [...states, { ...stepDegradation(states.at(-1) ?? initialDegradation, observation, at), at }];
        }, []);

type Case = readonly [name: string, phases: readonly Phase[], step: number, refused: number];
const cases: readonly Case[] = [
    ["a long queue with all endpoints: as before", [[5_000, 1, LONG]], 0, 0],
    ["a quarter silent and room on the others: nothing is refused", [[5_000, 0.75, MEDIUM]], 0, 0],
    ["a quarter silent for half a second", [[500, 0.75, LONG]], 2, 0.125],
    ["a quarter silent for longer: never more than was lost", [[5_000, 0.75, LONG]], 4, 0.25],
    ["all silent: half at most", [[5_000, 0, LONG]], 4, 0.5],
    ["back, but the queue is not short: it stays", [[2_000, 0.75, LONG], [5_000, 1, MEDIUM]], 4, 0.25],
    ["back and short for 1.5 s: one step", [[2_000, 0.75, LONG], [1_500, 1, SHORT]], 3, 0.1875],
    ["back and short for 5 s: as before the fault", [[2_000, 0.75, LONG], [5_000, 1, SHORT]], 0, 0],
];
// Guards against queues that all kinds fill when capacity is lost, and again when the load returns at once.
cases.forEach(([name, phases, step, refused]) => {
    test(`stepDegradation: ${name}`, t => {
        const state = statesAfter(phases).at(-1) ?? initialDegradation;
        t.deepEqual([state.step, degradedFraction(state)], [step, refused]);
    });
});

// Guards against the load of several steps that returns within a second.
test("stepDegradation: it recovers by one step at a time, each after a second with a short queue", t => {
    const states = statesAfter([[2_000, 0.75, LONG], [1_700, 1, SHORT], [100, 1, MEDIUM], [6_000, 1, SHORT]]);
    const recovered = states.filter(({ step }, i) => step < (states[i - 1]?.step ?? 0)).map(({ at }) => at);
    t.deepEqual(recovered, [3_000, 4_800, 5_800, 6_800]);
});
