import test from "ava";

import { judgeWaiter } from "../../judgeWaiter.js";
import type { Outlook } from "../../Outlook.js";
import { timing } from "../../timing.js";

const WAITER = {
    id: 1,
    tokens: 1_000,
    since: 0,
    until: timing.maxWaitMs,
    takeoverDeadline: timing.takeoverMs,
    rounds: 1,
};
const OUTLOOK: Outlook = {
    isInformed: true,
    isTakingOver: false,
    free: 0,
    recallable: 0,
    unmet: 0,
    rate: 1_000,
    unreachableBurst: 0,
    unreachableRate: 0,
};

// If requests that came before are left out of the computed wait, a caller that retries on time is refused again.
[
    {
        name: "waits for tokens that accrue in time",
        missing: 400,
        outlook: OUTLOOK,
        verdict: { kind: "wait", expectedMs: 400 },
    },
    {
        name: "waits for tokens that other VMs hand back",
        missing: 900,
        outlook: { ...OUTLOOK, recallable: 900 },
        verdict: { kind: "wait", expectedMs: timing.askIntervalMs },
    },
    {
        name: "waits for homes that have not answered yet",
        missing: 9_000,
        outlook: { ...OUTLOOK, isInformed: false },
        verdict: { kind: "wait", expectedMs: timing.askIntervalMs },
    },
    {
        name: "rounds the retry time up to whole seconds",
        missing: 1_200,
        outlook: OUTLOOK,
        verdict: { kind: "refuse", reason: "over-rate", retryAfterSeconds: 2 },
    },
    {
        name: "adds the requests that came before to the retry time",
        missing: 1_200,
        outlook: { ...OUTLOOK, unmet: 2_000 },
        verdict: { kind: "refuse", reason: "over-rate", retryAfterSeconds: 4 },
    },
    {
        name: "is refused as unreachable if a domain that is cut off has the tokens",
        missing: 1_200,
        outlook: { ...OUTLOOK, unreachableBurst: 2_000, unreachableRate: 500 },
        verdict: { kind: "refuse", reason: "allowance-unreachable", retryAfterSeconds: 2 },
    },
    {
        name: "is refused as over rate if even the domain that is cut off has too few tokens",
        missing: 9_000,
        outlook: { ...OUTLOOK, unreachableBurst: 2_000, unreachableRate: 500 },
        verdict: { kind: "refuse", reason: "over-rate", retryAfterSeconds: 9 },
    },
].forEach(({ name, missing, outlook, verdict }) =>
    test(`waiter: ${name}`, t => {
        const judged: unknown = judgeWaiter(WAITER, missing, outlook, 0);
        t.deepEqual(judged, verdict);
    })
);

// A home that never answers must not delay a refusal beyond the maximum wait.
test("waiter: is refused at the end of its wait, even if homes have not answered", t => {
    const verdict = judgeWaiter(WAITER, 900, { ...OUTLOOK, isInformed: false }, WAITER.until);
    t.is(verdict.kind, "refuse");
});
