import test from "ava";

import { shouldMove } from "../../serve/shouldMove.js";

const movable = {
    promptTokens: 800,
    outputTokens: 150,
    forwardedEvents: 20,
    budget: 6,
    freeSlots: 5,
    freeTokens: 9_000,
};

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
    { name: "a stream that no other engine accepts stays", conditions: { ...movable, freeSlots: 0 }, moves: false },
    {
        name: "a stream stays if the other engine runs more than its slots",
        conditions: { ...movable, freeSlots: -2 },
        moves: false,
    },
    {
        name: "a stream stays if the other engine's memory is full",
        conditions: { ...movable, freeTokens: -1 },
        moves: false,
    },
] as const;

cases.forEach(({ name, conditions, moves }) => {
    test(`shouldMove: ${name}`, t => {
        t.is(shouldMove(conditions), moves);
    });
});
