import { setImmediate as nextTurn } from "node:timers/promises";

import test from "ava";

import { watchOrders } from "../../serve/watchOrders.js";

type Step = "order" | "time passes" | "a place is kept" | "no place is kept" | "the stream ends";

type Place = { readonly release: () => void; };

/** Plays steps against a watched stream; returns how often it left its engine, and how many places it gave back. */
const playSteps = async (steps: readonly Step[]): Promise<{ readonly moves: number; readonly releases: number; }> => {
    const state = {
        listeners: [] as readonly (() => void)[],
        timers: [] as readonly (() => void)[],
        answers: [] as readonly ((place: Place | undefined) => void)[],
        moves: 0,
        releases: 0,
    };
    const place = {
        release: (): void => {
            state.releases += 1;
        },
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
        reserve: () =>
            new Promise<Place | undefined>(resolve => {
                state.answers = [...state.answers, resolve];
            }),
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
        "a place is kept": () => state.answers.forEach(answer => answer(place)),
        "no place is kept": () => state.answers.forEach(answer => answer(undefined)),
        "the stream ends": stopWatching,
    };
    for (const step of steps) {
        play[step]();
        await nextTurn();
    }
    return { moves: state.moves, releases: state.releases };
};

// Guards against moving a stream to an engine that has been ordered too: its answer is cut off.
const cases: readonly {
    readonly name: string;
    readonly steps: readonly Step[];
    readonly moves: number;
    readonly releases?: number;
}[] = [
    { name: "does not leave before the other orders of the wave are known", steps: ["order"], moves: 0 },
    { name: "leaves when they are known", steps: ["order", "time passes", "a place is kept"], moves: 1 },
    {
        name: "leaves once if the order is received twice",
        steps: ["order", "order", "time passes", "a place is kept"],
        moves: 1,
    },
    {
        name: "asks for one place if the order is received again meanwhile",
        steps: ["order", "time passes", "order", "time passes", "a place is kept"],
        moves: 1,
    },
    { name: "does not leave before a place is kept", steps: ["order", "time passes"], moves: 0 },
    { name: "stays if no place is kept", steps: ["order", "time passes", "no place is kept"], moves: 0 },
    {
        name: "that ends while it asks for a place gives it back",
        steps: ["order", "time passes", "the stream ends", "a place is kept"],
        moves: 0,
        releases: 1,
    },
    {
        name: "does not leave if it has ended in the meantime",
        steps: ["order", "the stream ends", "time passes", "a place is kept"],
        moves: 0,
    },
    { name: "does not leave on orders after its end", steps: ["the stream ends", "order", "time passes"], moves: 0 },
];
cases.forEach(({ name, steps, moves, releases = 0 }) => {
    test(`watchOrders: a stream ${name}`, async t => {
        t.deepEqual(await playSteps(steps), { moves, releases });
    });
});
