import test from "ava";

import { shouldMove } from "../../serve/shouldMove.js";

const movable = { promptTokens: 800, outputTokens: 150, forwardedEvents: 20, budget: 6, otherEngines: 5 };

// Guards against a long answer delaying new weights at its engine, and against moves that cost more than they gain.
const cases = [
    { name: "a short prompt with a long answer to come moves", conditions: movable, moves: true },
    {
        name: "a stream whose answer is nearly complete stays",
        conditions: { ...movable, forwardedEvents: 147 },
        moves: false,
    },
    {
        name: "a stream with a prompt too long to prefill again stays",
        conditions: { ...movable, promptTokens: 40_000 },
        moves: false,
    },
    {
        name: "a stream stays if the budget holds only the retries for engines that fail",
        conditions: { ...movable, budget: 2.9 },
        moves: false,
    },
    { name: "a stream that no other engine accepts stays", conditions: { ...movable, otherEngines: 0 }, moves: false },
] as const;

cases.forEach(({ name, conditions, moves }) => {
    test(`shouldMove: ${name}`, t => {
        t.is(shouldMove(conditions), moves);
    });
});
