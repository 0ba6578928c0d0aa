import test from "ava";

import type { Candidate } from "../../placement/Candidate.js";
import { estimateStart } from "../../placement/estimateStart.js";
import { overloadWait } from "../../placement/overloadWait.js";
import { candidateOf } from "../support/candidateOf.js";

const OBJECTIVE_MS = 500;
const PROMPT = 2_400;
/** Tokens that the engine below reads in a millisecond. */
const READING = 60;

const engine = (waitingTokens: number, running: number): Candidate =>
    candidateOf("e", { running, waitingTokens, missingTokens: PROMPT });

type Outcome = { readonly inTime: number; readonly late: number; readonly refused: number; };

/** One engine reads prompts in the order in which they come; arrivals are even, at a multiple of what it can read. */
const play = (load: number, mayRefuse: boolean): Outcome => {
    const gapMs = PROMPT / READING / load;
    const state = { freeAt: 0, inTime: 0, late: 0, refused: 0 };
    Array.from({ length: 2_000 }, (_, i) => i * gapMs).forEach(now => {
        const waitingTokens = Math.max(0, state.freeAt - now) * READING;
        const estimate = estimateStart(engine(waitingTokens, 0));
        if (mayRefuse && overloadWait({ ...estimate, objectiveMs: OBJECTIVE_MS, isUrgent: true }) !== undefined) {
            state.refused += 1;
            return;
        }
        state.freeAt = Math.max(state.freeAt, now) + PROMPT / READING;
        const isInTime = state.freeAt - now <= OBJECTIVE_MS * 1.2;
        state[isInTime ? "inTime" : "late"] += 1;
    });
    return state;
};

// More is taken in than engines can read, and everybody's answer is late.
test("overload: with half as much again as can be read, two thirds are in time in place of a few", t => {
    const before = play(1.5, false);
    const now = play(1.5, true);
    t.true(before.inTime < 100, `${before.inTime} in time without a limit`);
    t.true(now.inTime > 1_250, `${now.inTime} in time with it`);
    t.true(now.late < 20, `${now.late} late with it`);
});

test("overload: below what can be read nobody is refused", t => {
    t.deepEqual({ ...play(0.95, true), freeAt: 0 }, { ...play(0.95, false), freeAt: 0 });
    t.is(play(0.95, true).refused, 0);
});

// A prompt that takes longer to read than the objective allows is turned away by idle engines for ever.
test("overload: a large prompt is not turned away by an idle engine", t => {
    const estimate = estimateStart({ ...engine(0, 0), missingTokens: 54_000 });
    t.true(estimate.startMs > OBJECTIVE_MS);
    t.is(overloadWait({ ...estimate, objectiveMs: OBJECTIVE_MS, isUrgent: false }), undefined);
});

const cases = [
    { name: "an idle engine", queueMs: 0, startMs: 90, isUrgent: true, wait: undefined },
    { name: "at the limit of the urgent kind", queueMs: 510, startMs: 600, isUrgent: true, wait: undefined },
    { name: "beyond it: the wait is what it is over", queueMs: 760, startMs: 850, isUrgent: true, wait: 250 },
    { name: "a less urgent kind makes room first", queueMs: 410, startMs: 500, isUrgent: false, wait: 100 },
    { name: "a large prompt with a short queue", queueMs: 75, startMs: 975, isUrgent: false, wait: undefined },
    { name: "a large prompt with a long queue", queueMs: 175, startMs: 1_075, isUrgent: false, wait: 100 },
] as const;

cases.forEach(({ name, queueMs, startMs, isUrgent, wait }) => {
    test(`overloadWait: ${name}`, t => {
        t.is(overloadWait({ queueMs, startMs, objectiveMs: OBJECTIVE_MS, isUrgent }), wait);
    });
});
