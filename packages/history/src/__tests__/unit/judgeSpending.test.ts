import test from "ava";

import { judgeSpending } from "../../judgeSpending.js";

const LIMIT = { organisation: "acme", rate: 100, burst: 1_000, outputTokens: 0 };
const run = (at: number, promptTokens: number, organisation = "acme") => ({
    organisation,
    dispatchId: `${at}`,
    promptTokens,
    at,
});

[
    { name: "the burst at once", runs: [run(0, 600), run(0, 400)], over: 0 },
    { name: "one token more than the burst", runs: [run(0, 600), run(0, 401)], over: 1 },
    { name: "the burst, and the rate for a second", runs: [run(0, 1_000), run(1_000, 100)], over: 0 },
    {
        name: "too much in the middle of a long history",
        runs: [run(0, 1), run(90_000, 1_000), run(90_100, 20)],
        over: 10,
    },
    { name: "another organisation's runs", runs: [run(0, 600), run(0, 5_000, "other")], over: -400 },
    { name: "runs out of order", runs: [run(1_000, 100), run(0, 1_000)], over: 0 },
].forEach(({ name, runs, over }) =>
    test(`spending: ${name}`, t => {
        t.is(judgeSpending(runs, LIMIT)?.over, over);
    })
);
