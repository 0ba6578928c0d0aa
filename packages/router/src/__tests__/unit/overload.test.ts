import test from "ava";

import type { Candidate } from "../../placement/Candidate.js";
import { estimateStart } from "../../placement/estimateStart.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import { candidateOf } from "../support/candidateOf.js";

const OBJECTIVE_MS = 500;
const PROMPT = 2_400;
/** Tokens that the simulated engine prefills per millisecond. */
const PREFILL_PER_MS = 60;

const engine = (waitingTokens: number, running: number): Candidate =>
    candidateOf("e", { running, waitingTokens, missingTokens: PROMPT });

type Outcome = { readonly inTime: number; readonly late: number; readonly refused: number; };

/**
 * Simulates one engine that prefills prompts in the order of arrival. Arrivals are evenly spaced.
 *
 * @param load arriving prompt tokens as a multiple of what the engine can prefill
 */
const simulate = (load: number, mayRefuse: boolean): Outcome => {
    const gapMs = PROMPT / PREFILL_PER_MS / load;
    const state = { freeAt: 0, inTime: 0, late: 0, refused: 0 };
    Array.from({ length: 2_000 }, (_, i) => i * gapMs).forEach(now => {
        const waitingTokens = Math.max(0, state.freeAt - now) * PREFILL_PER_MS;
        const estimate = estimateStart(engine(waitingTokens, 0), 0);
        if (mayRefuse && overloadDelayMs({ ...estimate, objectiveMs: OBJECTIVE_MS, isUrgent: true }) !== undefined) {
            state.refused += 1;
            return;
        }
        state.freeAt = Math.max(state.freeAt, now) + PROMPT / PREFILL_PER_MS;
        const isInTime = state.freeAt - now <= OBJECTIVE_MS * 1.2;
        state[isInTime ? "inTime" : "late"] += 1;
    });
    return state;
};

// More prompts are admitted than engines can prefill, and all answers are late.
test("overload: at 1.5 times the prefill capacity, two thirds of the answers are in time instead of a few", t => {
    const unlimited = simulate(1.5, false);
    const limited = simulate(1.5, true);
    t.true(unlimited.inTime < 100, `${unlimited.inTime} in time without a limit`);
    t.true(limited.inTime > 1_250, `${limited.inTime} in time with it`);
    t.true(limited.late < 20, `${limited.late} late with it`);
});

test("overload: nothing is refused below the prefill capacity", t => {
    t.deepEqual({ ...simulate(0.95, true), freeAt: 0 }, { ...simulate(0.95, false), freeAt: 0 });
    t.is(simulate(0.95, true).refused, 0);
});

// A prompt whose prefill takes longer than its objective allows is refused by idle engines every time.
test("overload: a large prompt is not refused by an idle engine", t => {
    const estimate = estimateStart({ ...engine(0, 0), missingTokens: 54_000 }, 0);
    t.true(estimate.startMs > OBJECTIVE_MS);
    t.is(overloadDelayMs({ ...estimate, objectiveMs: OBJECTIVE_MS, isUrgent: false }), undefined);
});

const cases = [
    { name: "an idle engine: no delay", queueMs: 0, startMs: 90, isUrgent: true, delayMs: undefined },
    {
        name: "at the limit for the urgent kind: no delay",
        queueMs: 510,
        startMs: 600,
        isUrgent: true,
        delayMs: undefined,
    },
    { name: "beyond the limit: the delay is the excess", queueMs: 760, startMs: 850, isUrgent: true, delayMs: 250 },
    { name: "a less urgent kind: a lower limit", queueMs: 410, startMs: 500, isUrgent: false, delayMs: 100 },
    {
        name: "a large prompt with a short queue: no delay",
        queueMs: 75,
        startMs: 975,
        isUrgent: false,
        delayMs: undefined,
    },
    {
        name: "a large prompt with a long queue: the delay is the excess over the minimum queue",
        queueMs: 175,
        startMs: 1_075,
        isUrgent: false,
        delayMs: 100,
    },
    {
        name: "a wait that leaves the start within the objective: no delay",
        queueMs: 260,
        startMs: 350,
        isUrgent: false,
        waitedMs: 150,
        delayMs: undefined,
    },
    {
        name: "a wait that makes the start late: the delay is the excess",
        queueMs: 260,
        startMs: 350,
        isUrgent: true,
        waitedMs: 350,
        delayMs: 100,
    },
    {
        name: "a wait that makes the start of a less urgent kind late: the delay is the queue, so that it is refused",
        queueMs: 260,
        startMs: 350,
        isUrgent: false,
        waitedMs: 250,
        delayMs: 260,
    },
    {
        name: "more urgent requests wait: no room at an engine with a queue",
        queueMs: 80,
        startMs: 170,
        isUrgent: false,
        isBehind: true,
        delayMs: 0,
    },
    {
        name: "more urgent requests wait: an engine with a short queue has room",
        queueMs: 70,
        startMs: 160,
        isUrgent: false,
        isBehind: true,
        delayMs: undefined,
    },
] as const;

const shared = [
    { name: "the urgent kind: the limit of less urgent ones", isUrgent: true, delayMs: 50 },
    { name: "a less urgent kind: a lower limit than that", isUrgent: false, delayMs: 183 },
] as const;
// Guards against refusing an organisation within its share before one that is over it.
shared.forEach(({ name, isUrgent, delayMs }) => {
    test(`overloadDelayMs: over its share, ${name}`, t => {
        const inputs = { queueMs: 360, startMs: 450, objectiveMs: OBJECTIVE_MS, isUrgent };
        t.is(Math.round(overloadDelayMs({ ...inputs, isOverShare: true }) ?? 0), delayMs);
    });
});

cases.forEach(({ name, delayMs, ...inputs }) => {
    test(`overloadDelayMs: ${name}`, t => {
        t.is(overloadDelayMs({ ...inputs, objectiveMs: OBJECTIVE_MS }), delayMs);
    });
});
