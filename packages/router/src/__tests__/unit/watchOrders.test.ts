import test from "ava";

import { watchOrders } from "../../serve/watchOrders.js";

type Step = "order" | "time passes" | "the stream ends";

/** Plays steps against a watched stream; gives how often it left. */
const movesAfter = (steps: readonly Step[], takesMove: boolean): number => {
    const state = {
        listeners: [] as readonly (() => void)[],
        timers: [] as readonly (() => void)[],
        moves: 0,
    };
    const stop = watchOrders({
        onOrdered: listener => {
            state.listeners = [...state.listeners, listener];
            return () => {
                state.listeners = state.listeners.filter(each => each !== listener);
            };
        },
        later: (_, run) => {
            state.timers = [...state.timers, run];
            return () => {
                state.timers = state.timers.filter(each => each !== run);
            };
        },
        takesMove: () => takesMove,
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
        "the stream ends": stop,
    };
    steps.forEach(step => play[step]());
    return state.moves;
};

// A stream is moved to an engine that has been ordered too, and its answer is cut.
const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly moves: number; }[] = [
    { name: "not before the other orders of the wave are told", steps: ["order"], moves: 0 },
    { name: "once they are", steps: ["order", "time passes"], moves: 1 },
    { name: "once, though the order is told twice", steps: ["order", "order", "time passes"], moves: 1 },
    { name: "not when it has ended meanwhile", steps: ["order", "the stream ends", "time passes"], moves: 0 },
    { name: "not by orders after its end", steps: ["the stream ends", "order", "time passes"], moves: 0 },
];
cases.forEach(({ name, steps, moves }) => {
    test(`watchOrders: a stream leaves ${name}`, t => {
        t.is(movesAfter(steps, true), moves);
    });
});

test("watchOrders: a stream stays where it does not take the move by then", t => {
    t.is(movesAfter(["order", "time passes"], false), 0);
});
