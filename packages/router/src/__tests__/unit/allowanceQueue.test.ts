import type { VmId } from "@azureshunt/core";
import test from "ava";

import { createAllowanceQueue } from "../../allowance/createAllowanceQueue.js";
import { createAllowances } from "../../allowance/createAllowances.js";
import { waitForAllowance } from "../../allowance/waitForAllowance.js";
import { organisationOf } from "../support/organisationOf.js";

const RATE = 10_000;
const TOKENS = 1_000;
const WAIT_MS = 250;

/** Creates a clock that a test advances, with the functions scheduled on it. */
const createTime = () => {
    const state = { now: 0, waiting: [] as { readonly at: number; readonly run: () => void; }[] };
    const schedule = (delayMs: number, run: () => void): void => {
        state.waiting = [...state.waiting, { at: state.now + delayMs, run }].toSorted((a, b) => a.at - b.at);
    };
    const advanceTo = (now: number): void => {
        const [first, ...rest] = state.waiting;
        if (first === undefined || first.at > now) {
            state.now = now;
            return;
        }
        state.waiting = rest;
        state.now = first.at;
        first.run();
        advanceTo(now);
    };
    return { clock: { now: () => state.now, epoch: () => state.now }, schedule, advanceTo };
};

const start = () => {
    const time = createTime();
    // Another VM is listed but silent, and the list is partial, as after a restart of all VMs: nothing may be
    // overdrawn.
    const liveness = () => ({ peers: 1, silent: ["other" as VmId], isPartial: true, propagationMs: 200 });
    const allowances = createAllowances(time.clock, liveness, () => 0);
    const queue = createAllowanceQueue({ clock: time.clock, allowances, schedule: time.schedule });
    const outcomes: string[] = [];
    const ask = (name: string, id: string, signal: AbortSignal = new AbortController().signal): void => {
        const waitsUntil = time.clock.now() + WAIT_MS;
        void queue.charge({ organisation: organisationOf(RATE, 2 * RATE, id), tokens: TOKENS, waitsUntil, signal })
            .then(outcome => outcomes.push(`${name} ${outcome.isRight() ? "charged" : "refused"}`));
    };
    return { time, ask, outcomes };
};

const settled = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// All VMs restart, and an organisation within its rate is refused although its tokens accrue some milliseconds later.
test("allowance queue: after a restart, requests within the rate are charged in order and not refused", async t => {
    const { time, ask, outcomes } = start();
    ask("a", "org");
    ask("b", "org");
    await settled();
    t.deepEqual(outcomes, []);
    time.advanceTo(100);
    await settled();
    t.deepEqual(outcomes, ["a charged"]);
    time.advanceTo(400);
    await settled();
    t.deepEqual(outcomes, ["a charged", "b charged"]);
});

test("allowance queue: an organisation far over its rate is refused at once, without delay to others", async t => {
    const { time, ask, outcomes } = start();
    ["a", "b", "c", "d"].forEach(name => ask(name, "org"));
    ask("e", "other");
    await settled();
    t.deepEqual(outcomes, ["d refused"]);
    time.advanceTo(20);
    await settled();
    t.deepEqual(outcomes.slice(1).toSorted(), ["a charged", "e charged"]);
});

test("allowance queue: a caller that disconnected is not charged, and the next one is", async t => {
    const { time, ask, outcomes } = start();
    const caller = new AbortController();
    ask("a", "org", caller.signal);
    ask("b", "org");
    caller.abort();
    time.advanceTo(20);
    await settled();
    t.deepEqual(outcomes, ["a refused", "b charged"]);
});

const decisions = [
    {
        name: "waits if tokens accrue in time",
        refillWaitMs: 90,
        queuedTokens: 0,
        maxWaitMs: 250,
        kind: "wait",
        waitMs: 90,
    },
    {
        name: "waits behind others if still in time",
        refillWaitMs: 50,
        queuedTokens: 2_000,
        maxWaitMs: 250,
        kind: "wait",
        waitMs: 250,
    },
    {
        name: "refuses if too many tokens are queued before it",
        refillWaitMs: 50,
        queuedTokens: 2_001,
        maxWaitMs: 250,
        kind: "refuse",
        waitMs: 250.1,
    },
    { name: "refuses if its time is up", refillWaitMs: 1, queuedTokens: 0, maxWaitMs: 0, kind: "refuse", waitMs: 1 },
] as const;

decisions.forEach(({ name, kind, waitMs, ...question }) => {
    test(`waitForAllowance: ${name}`, t => {
        t.deepEqual(waitForAllowance({ ...question, ratePerSecond: RATE }), { kind, waitMs });
    });
});
