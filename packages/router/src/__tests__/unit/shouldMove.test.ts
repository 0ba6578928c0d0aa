import test from "ava";

import { shouldMove } from "../../serve/shouldMove.js";

const note = { promptTokens: 800, outputTokens: 150, passedEvents: 20, budget: 6, others: 5 };

// A long answer keeps an engine from its new weights, or moving it costs more than it gains.
const cases = [
    { name: "a short prompt with a long answer to come", question: note, moves: true },
    { name: "the answer is nearly over", question: { ...note, passedEvents: 147 }, moves: false },
    { name: "the prompt is too long to be read again", question: { ...note, promptTokens: 40_000 }, moves: false },
    { name: "the last tries stay for engines that fail", question: { ...note, budget: 2.9 }, moves: false },
    { name: "no other engine takes it", question: { ...note, others: 0 }, moves: false },
] as const;

cases.forEach(({ name, question, moves }) => {
    test(`shouldMove: ${name}`, t => {
        t.is(shouldMove(question), moves);
    });
});
