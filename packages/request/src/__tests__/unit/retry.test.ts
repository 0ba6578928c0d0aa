import { refusalOf } from "@azureshunt/core";
import type { Ran } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { decideHedge } from "../../decideHedge.js";
import { earnRetry } from "../../earnRetry.js";
import { fullRetryBudget } from "../../fullRetryBudget.js";
import { MAX_TRIES } from "../../MAX_TRIES.js";
import { planAfterFailure } from "../../planAfterFailure.js";
import type { RequestState } from "../../RequestState.js";
import type { RetryBudget } from "../../RetryBudget.js";
import { spendRetry } from "../../spendRetry.js";
import type { TryFailure } from "../../TryFailure.js";

const SEED = 20_261_202;
const DEADLINE = 1_000;
const BUDGET = fullRetryBudget(2, 0.25);
const EMPTY: RetryBudget = { ...BUDGET, balance: 0 };
const FRESH: RequestState = { repeatable: true, deadline: DEADLINE, tries: 1, next: 0, ran: "no" };
const NOT_REPEATABLE: RequestState = { ...FRESH, repeatable: false };

const stopped = (kind: "withdrawn-key" | "request-crashes-endpoints"): TryFailure => ({
    kind: "stopped",
    refusal: refusalOf(kind),
});
const unplaced: TryFailure = { kind: "unplaced", refusal: refusalOf("no-endpoint") };

type PlanCase = {
    readonly name: string;
    readonly request: RequestState;
    readonly failure: TryFailure;
    readonly budget?: RetryBudget;
    readonly now?: number;
    readonly plan: string;
    readonly ran: Ran;
};

// Guards against retries of a request that may not be repeated, and against "not run" for a request that was sent.
const cases: readonly PlanCase[] = [
    { name: "repeatable, endpoint died", request: FRESH, failure: { kind: "died" }, plan: "retry 0", ran: "maybe" },
    { name: "repeatable, silent", request: FRESH, failure: { kind: "silent" }, plan: "retry 0", ran: "maybe" },
    { name: "repeatable, crossed answer", request: FRESH, failure: { kind: "crossed" }, plan: "retry 0", ran: "maybe" },
    {
        name: "stream broken after three pieces",
        request: { ...FRESH, next: 3, ran: "maybe" },
        failure: { kind: "died" },
        plan: "retry 3",
        ran: "maybe",
    },
    {
        name: "a stream that has started is resumed even after the deadline for its start",
        request: { ...FRESH, next: 3, ran: "maybe" },
        failure: { kind: "gap" },
        now: DEADLINE,
        plan: "retry 3",
        ran: "maybe",
    },
    {
        name: "a stream out of tries",
        request: { ...FRESH, next: 3, tries: MAX_TRIES, ran: "maybe" },
        failure: { kind: "died" },
        plan: "stream-broken tries",
        ran: "yes",
    },
    {
        name: "budget used up",
        request: FRESH,
        failure: { kind: "died" },
        budget: EMPTY,
        plan: "endpoint-failed budget",
        ran: "maybe",
    },
    {
        name: "budget used up, never sent",
        request: FRESH,
        failure: { kind: "unreached" },
        budget: EMPTY,
        plan: "retry 0",
        ran: "no",
    },
    {
        name: "budget used up, refused",
        request: FRESH,
        failure: { kind: "refused", full: true },
        budget: EMPTY,
        plan: "overloaded budget",
        ran: "no",
    },
    {
        name: "deadline passed, not run",
        request: FRESH,
        failure: { kind: "unreached" },
        now: DEADLINE,
        plan: "deadline-exceeded deadline",
        ran: "no",
    },
    {
        name: "deadline passed, may have run",
        request: FRESH,
        failure: { kind: "died" },
        now: DEADLINE,
        plan: "endpoint-failed deadline",
        ran: "maybe",
    },
    {
        name: "not repeatable, endpoint died",
        request: NOT_REPEATABLE,
        failure: { kind: "died" },
        plan: "answer-lost not-repeatable",
        ran: "maybe",
    },
    {
        name: "not repeatable, silent",
        request: NOT_REPEATABLE,
        failure: { kind: "silent" },
        plan: "answer-lost not-repeatable",
        ran: "maybe",
    },
    {
        name: "not repeatable, crossed",
        request: NOT_REPEATABLE,
        failure: { kind: "crossed" },
        plan: "answer-lost not-repeatable",
        ran: "maybe",
    },
    {
        name: "not repeatable, error from the endpoint",
        request: NOT_REPEATABLE,
        failure: { kind: "failed" },
        plan: "answer-lost not-repeatable",
        ran: "maybe",
    },
    {
        name: "not repeatable, never sent",
        request: NOT_REPEATABLE,
        failure: { kind: "unreached" },
        plan: "retry 0",
        ran: "no",
    },
    {
        name: "not repeatable, refused",
        request: NOT_REPEATABLE,
        failure: { kind: "refused", full: true },
        plan: "retry 0",
        ran: "no",
    },
    {
        name: "refused as full, out of tries",
        request: { ...FRESH, tries: MAX_TRIES },
        failure: { kind: "refused", full: true },
        plan: "overloaded tries",
        ran: "no",
    },
    { name: "no endpoint found, not run", request: FRESH, failure: unplaced, plan: "no-endpoint final", ran: "no" },
    {
        name: "no endpoint found, an earlier try may have run",
        request: { ...FRESH, ran: "maybe" },
        failure: unplaced,
        plan: "endpoint-failed final",
        ran: "maybe",
    },
    {
        name: "key withdrawn before any try ran",
        request: FRESH,
        failure: stopped("withdrawn-key"),
        plan: "withdrawn-key final",
        ran: "no",
    },
    {
        name: "key withdrawn after a try may have run",
        request: { ...FRESH, ran: "maybe" },
        failure: stopped("withdrawn-key"),
        plan: "withdrawn-key final",
        ran: "maybe",
    },
    {
        name: "quarantined",
        request: FRESH,
        failure: stopped("request-crashes-endpoints"),
        plan: "request-crashes-endpoints final",
        ran: "maybe",
    },
];

cases.forEach(({ name, request, failure, budget = BUDGET, now = 0, plan, ran }) =>
    test(`retry: ${name}`, t => {
        const decided = planAfterFailure(request, failure, budget, now);
        const text = decided.kind === "retry"
            ? `retry ${decided.from}`
            : `${decided.refusal.kind} ${decided.reason}`;
        t.is(text, plan);
        t.is(decided.kind === "retry" ? decided.request.ran : decided.refusal.ran, ran);
    })
);

const failures = fc.constantFrom<TryFailure>(
    { kind: "unreached" },
    { kind: "refused", full: true },
    { kind: "refused", full: false },
    { kind: "failed" },
    { kind: "died" },
    { kind: "silent" },
    { kind: "gap" },
    { kind: "crossed" },
    unplaced,
);

test("retry: a request that may not be repeated is sent at most once, and \"not run\" is always true", t => {
    const isSent = (failure: TryFailure) => !["unreached", "refused", "unplaced"].includes(failure.kind);
    fc.assert(
        fc.property(
            fc.array(failures, { minLength: 1, maxLength: 8, size: "max" }),
            fc.boolean(),
            (sequence, repeatable) => {
                let request: RequestState = { ...FRESH, repeatable };
                let isAnswered = false;
                let runs = 0;
                return sequence.every(failure => {
                    if (isAnswered) {
                        return true;
                    }
                    runs += isSent(failure) ? 1 : 0;
                    const plan = planAfterFailure(request, failure, BUDGET, 0);
                    isAnswered = plan.kind === "answer";
                    const ran = plan.kind === "answer" ? plan.refusal.ran : plan.request.ran;
                    request = plan.kind === "retry" ? { ...plan.request, tries: plan.request.tries + 1 } : request;
                    const isSentOnce = repeatable || runs === 0 || (runs === 1 && isAnswered);
                    return isSentOnce && (ran !== "no" || runs === 0);
                });
            },
        ),
        { seed: SEED, numRuns: 2_000 },
    );
    t.pass();
});

// If a failure domain dies, unlimited retries would multiply the load on the others.
test("retry: a dead failure domain causes no retry storm", t => {
    const requests = 1_000;
    let budget = fullRetryBudget(20, 0.1);
    let tries = 0;
    Array.from({ length: requests }).forEach(() => {
        budget = earnRetry(budget);
        const remaining = spendRetry(budget);
        tries += remaining === undefined ? 0 : 1;
        budget = remaining ?? budget;
    });
    t.true(tries <= 20 + requests * 0.1);
    t.true(tries >= requests * 0.1);
});

const HEDGE = { request: FRESH, dispatchedAt: 0, estimatedFirstTokenMs: 100, isHedged: false, budget: BUDGET };

[
    { name: "slow", input: HEDGE, now: 400, kind: "hedge" },
    { name: "not slow yet", input: HEDGE, now: 399, kind: "wait" },
    { name: "hedged already", input: { ...HEDGE, isHedged: true }, now: 400, kind: "never" },
    { name: "may not be repeated", input: { ...HEDGE, request: NOT_REPEATABLE }, now: 400, kind: "never" },
    { name: "first piece has arrived", input: { ...HEDGE, request: { ...FRESH, next: 1 } }, now: 400, kind: "never" },
    { name: "no budget", input: { ...HEDGE, budget: EMPTY }, now: 400, kind: "never" },
    { name: "slow only after the deadline", input: { ...HEDGE, estimatedFirstTokenMs: 400 }, now: 0, kind: "never" },
].forEach(({ name, input, now, kind }) =>
    test(`hedge: ${name}`, t => {
        t.is(decideHedge(input, now).kind, kind as "hedge");
    })
);
