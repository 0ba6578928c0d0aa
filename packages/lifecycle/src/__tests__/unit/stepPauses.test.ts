import test from "ava";

import type { ClockReading } from "../../ClockReading.js";
import { initialPauses } from "../../initialPauses.js";
import { stepPauses } from "../../stepPauses.js";

const INTERVAL_MS = 100;
const START = { steadyMs: 0, wallMs: 1_000_000, cpuMs: 0 };

type Elapsed = readonly [steadyMs: number, wallMs: number, cpuMs: number];

/** Applies ticks, and then looks once more without any time in between. */
const pausesAfter = (ticks: readonly Elapsed[]) => {
    const seen: string[] = [];
    const state = { pauses: initialPauses(START), reading: START as ClockReading };
    const apply = (kind: "tick" | "look", [steadyMs, wallMs, cpuMs]: Elapsed): void => {
        const { reading } = state;
        state.reading = {
            steadyMs: reading.steadyMs + steadyMs,
            wallMs: reading.wallMs + wallMs,
            cpuMs: reading.cpuMs + cpuMs,
        };
        const step = stepPauses(state.pauses, { kind, reading: state.reading }, INTERVAL_MS);
        state.pauses = step.state;
        seen.push(...step.pauses.map(pause => `${pause.kind} ${pause.ms}`));
    };
    ticks.forEach(tick => {
        apply("look", tick);
        apply("tick", [0, 0, 0]);
    });
    return seen;
};

const usual = (cpuMs: number): readonly Elapsed[] => Array.from({ length: 5 }, () => [100, 100, cpuMs] as const);

const cases: readonly (readonly [name: string, ticks: readonly Elapsed[], pauses: readonly string[]])[] = [
    ["ticks in time", usual(90), []],
    ["stopped, its monotonic clock goes on", [...usual(1), [3_600, 3_600, 2]], ["counted 3500"]],
    ["stopped while it served much", [...usual(60), [3_600, 3_600, 65]], ["counted 3500"]],
    ["stopped, its monotonic clock stands still", [...usual(1), [100, 3_600, 1]], ["uncounted 3500"]],
    ["time of day stepped back", [...usual(1), [100, -2_400, 1]], ["uncounted -2500"]],
    ["stopped, and the time of day is corrected", [...usual(1), [3_600, 2_600, 1]], [
        "uncounted -1000",
        "counted 3500",
    ]],
    ["a busy event loop", [...usual(90), [3_600, 3_600, 3_500]], []],
    ["a tenth of a core, all of it used", [...usual(10), [3_600, 3_600, 360]], []],
    ["a thirtieth of a core, all of it used", [...usual(3), [3_600, 3_600, 108]], []],
    ["late timers", [...usual(1), [250, 250, 1]], []],
];

// Guards against a pause of this process that is taken for load, or for silence of others, and load taken for a pause.
cases.forEach(([name, ticks, pauses]) => {
    test(`pauses: ${name}`, t => t.deepEqual(pausesAfter(ticks), pauses));
});
