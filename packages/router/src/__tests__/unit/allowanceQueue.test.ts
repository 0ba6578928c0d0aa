import type { VmId } from "@azureshunt/core";
import test from "ava";

import { createAllowanceQueue } from "../../allowance/createAllowanceQueue.js";
import { createAllowances } from "../../allowance/createAllowances.js";
import { waitForAllowance } from "../../allowance/waitForAllowance.js";
import { organisationOf } from "../support/organisationOf.js";

const RATE = 10_000;
const TOKENS = 1_000;
const WAIT_MS = 250;

/** A clock that a test moves on, with the functions that wait for it. */
const createTime = () => {
    const state = { now: 0, waiting: [] as { readonly at: number; readonly run: () => void; }[] };
    const later = (delayMs: number, run: () => void): void => {
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
    return { clock: { now: () => state.now, epoch: () => state.now }, later, advanceTo };
};

const start = () => {
    const time = createTime();
    // Another VM is listed but out of hearing, as when all have just restarted: nothing may be overdrawn.
    const hearing = () => ({ peers: 1, unheard: ["other" as VmId], isPartial: true, newsMs: 200 });
    const allowances = createAllowances(time.clock, hearing, () => 0);
    const queue = createAllowanceQueue({ clock: time.clock, allowances, later: time.later });
    const outcomes: string[] = [];
    const ask = (name: string, id: string, signal: AbortSignal = new AbortController().signal): void => {
        const waitsUntil = time.clock.now() + WAIT_MS;
        void queue.charge({ organisation: organisationOf(RATE, 2 * RATE, id), tokens: TOKENS, waitsUntil, signal })
            .then(outcome => outcomes.push(`${name} ${outcome.isRight() ? "charged" : "refused"}`));
    };
    return { time, ask, outcomes };
};

const settled = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// All VMs restart, and an organisation within its rate is refused for tokens that come some milliseconds later.
test("allowance queue: within the rate nobody is refused after a restart, and the first is charged first", async t => {
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

test("allowance queue: an organisation far over its rate is refused at once, and another one is not held up by it", async t => {
    const { time, ask, outcomes } = start();
    ["a", "b", "c", "d"].forEach(name => ask(name, "org"));
    ask("e", "other");
    await settled();
    t.deepEqual(outcomes, ["d refused"]);
    time.advanceTo(20);
    await settled();
    t.deepEqual(outcomes.slice(1).toSorted(), ["a charged", "e charged"]);
});

test("allowance queue: a caller that has left is charged nothing, and those behind it are", async t => {
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
    { name: "tokens come in time", shortMs: 90, queuedTokens: 0, leftMs: 250, kind: "wait", waitMs: 90 },
    { name: "behind others, still in time", shortMs: 50, queuedTokens: 2_000, leftMs: 250, kind: "wait", waitMs: 250 },
    { name: "too many before it", shortMs: 50, queuedTokens: 2_001, leftMs: 250, kind: "refuse", waitMs: 250.1 },
    { name: "its time is up", shortMs: 1, queuedTokens: 0, leftMs: 0, kind: "refuse", waitMs: 1 },
] as const;

decisions.forEach(({ name, kind, waitMs, ...question }) => {
    test(`waitForAllowance: ${name}`, t => {
        t.deepEqual(waitForAllowance({ ...question, ratePerSecond: RATE }), { kind, waitMs });
    });
});
