import test from "ava";

import { freePorts } from "../../topology/freePorts.js";

const COUNT = 18;

/** Creates a source of numbers that always gives the same sequence. */
const createSequence = (): () => number => {
    const state = { draws: 0 };
    return () => (state.draws++ % 100) / 100;
};

// If two installations that start at once find the same port free, the process of the second one does not start.
test("ports: installations of two programs get different ports", async t => {
    // A second instance of the module acts as another program: it shares only the machine with the first instance.
    const other = await import(`${new URL("../../topology/freePorts.js", import.meta.url).href}?other`) as {
        readonly freePorts: typeof freePorts;
    };
    const [first, second] = await Promise.all([
        freePorts(COUNT, createSequence()),
        other.freePorts(COUNT, createSequence()),
    ]);
    t.is(new Set([...first, ...second]).size, 2 * COUNT);
});

// A second installation of one program could get ports of the first one whose processes have not started yet.
test("ports: one program never hands out a port twice", async t => {
    const lists = await Promise.all([freePorts(COUNT), freePorts(COUNT), freePorts(COUNT)]);
    t.is(new Set(lists.flat()).size, 3 * COUNT);
});
