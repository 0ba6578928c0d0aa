import test from "ava";

import { freePorts } from "../../topology/freePorts.js";

const COUNT = 18;

/** Draws the same numbers as any other of its kind. */
const createDraws = (): () => number => {
    const state = { draws: 0 };
    return () => (state.draws++ % 100) / 100;
};

// Two installations that start at once find the same port free, and the second one's process does not start.
test("ports: two installations of two programs get different ports", async t => {
    // Another instance of the module stands for another program: it shares nothing with the first one but the machine.
    const other = await import(`${new URL("../../topology/freePorts.js", import.meta.url).href}?other`) as {
        readonly freePorts: typeof freePorts;
    };
    const [first, second] = await Promise.all([freePorts(COUNT, createDraws()), other.freePorts(COUNT, createDraws())]);
    t.is(new Set([...first, ...second]).size, 2 * COUNT);
});

// A second installation of one program gets ports of the first one whose processes have not started yet.
test("ports: one program never gives out a port twice", async t => {
    const lists = await Promise.all([freePorts(COUNT), freePorts(COUNT), freePorts(COUNT)]);
    t.is(new Set(lists.flat()).size, 3 * COUNT);
});
