import test from "ava";

import { checkSpending } from "../../checkSpending.js";

const LIMIT = { organisation: "acme", rate: 100, burst: 1_000, outputTokens: 0 };
const run = (at: number, promptTokens: number, organisation = "acme") => ({
    organisation,
    dispatchId: `${at}`,
    promptTokens,
    at,
});

[
    { name: "spending the whole burst at once stays within the limit", runs: [run(0, 600), run(0, 400)], over: 0 },
    { name: "one token more than the burst is one token over", runs: [run(0, 600), run(0, 401)], over: 1 },
    {
        name: "the burst and one second of the rate stay within the limit",
        runs: [run(0, 1_000), run(1_000, 100)],
        over: 0,
    },
    {
        name: "an excess late in a long history is found",
        runs: [run(0, 1), run(90_000, 1_000), run(90_100, 20)],
        over: 10,
    },
    { name: "another organisation's runs do not count", runs: [run(0, 600), run(0, 5_000, "other")], over: -400 },
    { name: "runs may be given out of order", runs: [run(1_000, 100), run(0, 1_000)], over: 0 },
].forEach(({ name, runs, over }) =>
    test(`spending: ${name}`, t => {
        t.is(checkSpending(runs, LIMIT)?.over, over);
    })
);
