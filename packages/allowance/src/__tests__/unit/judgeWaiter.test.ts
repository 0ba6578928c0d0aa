import test from "ava";

import { judgeWaiter } from "../../judgeWaiter.js";
import type { Outlook } from "../../Outlook.js";
import { timing } from "../../timing.js";

const WAITER = { id: 1, tokens: 1_000, since: 0, until: timing.maxWaitMs, settledBy: timing.settleMs, rounds: 1 };
const OUTLOOK: Outlook = {
    informed: true,
    settling: false,
    free: 0,
    recallable: 0,
    unmet: 0,
    rate: 1_000,
    unreachableBurst: 0,
    unreachableRate: 0,
};

// A caller comes back when it was told to and is refused again, as those before it were left out of the wait.
[
    { name: "tokens that accrue in time", missing: 400, outlook: OUTLOOK, verdict: { kind: "wait", expectedMs: 400 } },
    {
        name: "tokens that other VMs hand back",
        missing: 900,
        outlook: { ...OUTLOOK, recallable: 900 },
        verdict: { kind: "wait", expectedMs: timing.askAgainMs },
    },
    {
        name: "homes not heard yet",
        missing: 9_000,
        outlook: { ...OUTLOOK, informed: false },
        verdict: { kind: "wait", expectedMs: timing.askAgainMs },
    },
    {
        name: "a second and a bit",
        missing: 1_200,
        outlook: OUTLOOK,
        verdict: { kind: "refuse", reason: "over-rate", retryAfterSeconds: 2 },
    },
    {
        name: "others that came before",
        missing: 1_200,
        outlook: { ...OUTLOOK, unmet: 2_000 },
        verdict: { kind: "refuse", reason: "over-rate", retryAfterSeconds: 4 },
    },
    {
        name: "tokens in a domain that is cut off",
        missing: 1_200,
        outlook: { ...OUTLOOK, unreachableBurst: 2_000, unreachableRate: 500 },
        verdict: { kind: "refuse", reason: "allowance-unreachable", retryAfterSeconds: 2 },
    },
    {
        name: "more than even the domain that is cut off holds",
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

// A home that never answers must not hold a refusal back beyond the longest wait.
test("waiter: at the end of its time it is refused, informed or not", t => {
    const verdict = judgeWaiter(WAITER, 900, { ...OUTLOOK, informed: false }, WAITER.until);
    t.is(verdict.kind, "refuse");
});
