import test from "ava";

import { watchOrders } from "../../serve/watchOrders.js";

type Step = "order" | "time passes" | "the stream ends";

/** Plays steps against a watched stream; returns how often it left its engine. */
const movesAfter = (steps: readonly Step[], isReserved: boolean): number => {
    const state = {
        listeners: [] as readonly (() => void)[],
        timers: [] as readonly (() => void)[],
        moves: 0,
    };
    const stopWatching = watchOrders({
        onOrdered: listener => {
            state.listeners = [...state.listeners, listener];
            return () => {
                state.listeners = state.listeners.filter(each => each !== listener);
            };
        },
        schedule: (_, run) => {
            state.timers = [...state.timers, run];
            return () => {
                state.timers = state.timers.filter(each => each !== run);
            };
        },
        reserveMove: () => isReserved,
    }, () => {
        state.moves += 1;
    });
    const play: Readonly<Record<Step, () => void>> = {
        "order": () => state.listeners.forEach(listener => listener()),
        "time passes": () => {
            const due = state.timers;
            state.timers = [];
            due.forEach(run => run());
        },
        "the stream ends": stopWatching,
    };
    steps.forEach(step => play[step]());
    return state.moves;
};

// Guards against moving a stream to an engine that has been ordered too: its answer is cut off.
const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly moves: number; }[] = [
    { name: "does not leave before the other orders of the wave are known", steps: ["order"], moves: 0 },
    { name: "leaves when they are known", steps: ["order", "time passes"], moves: 1 },
    { name: "leaves once if the order is received twice", steps: ["order", "order", "time passes"], moves: 1 },
    {
        name: "does not leave if it has ended in the meantime",
        steps: ["order", "the stream ends", "time passes"],
        moves: 0,
    },
    { name: "does not leave on orders after its end", steps: ["the stream ends", "order", "time passes"], moves: 0 },
];
cases.forEach(({ name, steps, moves }) => {
    test(`watchOrders: a stream ${name}`, t => {
        t.is(movesAfter(steps, true), moves);
    });
});

test("watchOrders: a stream stays if no move is reserved after the delay", t => {
    t.is(movesAfter(["order", "time passes"], false), 0);
});
