import test from "ava";

import type { Degradation } from "../../Degradation.js";
import { degradedFraction } from "../../degradedFraction.js";
import { initialDegradation } from "../../initialDegradation.js";
import { stepDegradation } from "../../stepDegradation.js";

const OBJECTIVE_MS = 800;
const OBSERVE_MS = 100;
const [LONG, MEDIUM, SHORT] = [400, 200, 50];

/** For some time: which fraction of the endpoints is not silent, and the queue at the others. */
type Phase = { readonly forMs: number; readonly available: number; readonly queueMs: number; };

const statesAfter = (phases: readonly Phase[]): readonly (Degradation & { readonly at: number; })[] =>
    phases.flatMap(phase => Array.from({ length: phase.forMs / OBSERVE_MS }, () => phase))
        .reduce<readonly (Degradation & { readonly at: number; })[]>((states, { available, queueMs }, i) => {
            const at = i * OBSERVE_MS;
            const observation = { available, queueMs, objectiveMs: OBJECTIVE_MS };
            return [...states, { ...stepDegradation(states.at(-1) ?? initialDegradation, observation, at), at }];
        }, []);

const silent = { available: 0.75, queueMs: LONG };
const back = { available: 1, queueMs: SHORT };
const cases = [
    {
        name: "a long queue with all endpoints: as before",
        phases: [{ forMs: 5_000, available: 1, queueMs: LONG }],
        step: 0,
        refused: 0,
    },
    {
        name: "a quarter silent and room on the others: nothing is refused",
        phases: [{ forMs: 5_000, available: 0.75, queueMs: MEDIUM }],
        step: 0,
        refused: 0,
    },
    { name: "a quarter silent for half a second", phases: [{ forMs: 500, ...silent }], step: 2, refused: 0.125 },
    {
        name: "a quarter silent for longer: never more than was lost",
        phases: [{ forMs: 5_000, ...silent }],
        step: 4,
        refused: 0.25,
    },
    {
        name: "all silent: half at most",
        phases: [{ forMs: 5_000, available: 0, queueMs: LONG }],
        step: 4,
        refused: 0.5,
    },
    {
        name: "back, but the queue is not short: it stays",
        phases: [{ forMs: 2_000, ...silent }, { forMs: 5_000, available: 1, queueMs: MEDIUM }],
        step: 4,
        refused: 0.25,
    },
    {
        name: "back and short for 1.5 s: one step",
        phases: [{ forMs: 2_000, ...silent }, { forMs: 1_500, ...back }],
        step: 3,
        refused: 0.1875,
    },
    {
        name: "back and short for 5 s: as before the fault",
        phases: [{ forMs: 2_000, ...silent }, { forMs: 5_000, ...back }],
        step: 0,
        refused: 0,
    },
];
// Guards against queues that all kinds fill when capacity is lost, and again when the load returns at once.
cases.forEach(({ name, phases, step, refused }) => {
    test(`stepDegradation: ${name}`, t => {
        const state = statesAfter(phases).at(-1) ?? initialDegradation;
        t.is(state.step, step);
        t.is(degradedFraction(state), refused);
    });
});

// Guards against the load of several steps that returns within a second.
test("stepDegradation: it recovers by one step at a time, each after a second with a short queue", t => {
    const states = statesAfter([
        { forMs: 2_000, ...silent },
        { forMs: 1_700, ...back },
        { forMs: 100, available: 1, queueMs: MEDIUM },
        { forMs: 6_000, ...back },
    ]);
    const recovered = states.filter(({ step }, i) => step < (states[i - 1]?.step ?? 0)).map(({ at }) => at);
    t.deepEqual(recovered, [3_000, 4_800, 5_800, 6_800]);
});
