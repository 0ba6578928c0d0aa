import test from "ava";

import { headStartMs } from "../../headStartMs.js";
import { initialLinks } from "../../initialLinks.js";
import { isBlocked } from "../../isBlocked.js";
import { isCutOff } from "../../isCutOff.js";
import { stepLinks } from "../../stepLinks.js";

const A = "10.0.0.1:80";
const B = "10.0.0.2:80";
const C = "10.0.0.3:80";
const D = "10.0.0.4:80";

type Case = {
    readonly name: string;
    /** Address, whether the own link opened, and time in milliseconds. */
    readonly events: readonly (readonly [string, "opened" | "bypassed", number])[];
    readonly at: number;
    readonly cutOff: boolean;
    /** Addresses whose own links count as blocked. */
    readonly blocked: readonly string[];
};

const cases: readonly Case[] = [
    { name: "no connection yet", events: [], at: 0, cutOff: false, blocked: [] },
    {
        name: "all own links open",
        events: [[A, "opened", 0], [B, "opened", 1]],
        at: 2,
        cutOff: false,
        blocked: [],
    },
    {
        name: "one endpoint is reached by peers only",
        events: [[B, "opened", 0], [A, "bypassed", 1], [A, "bypassed", 2]],
        at: 3,
        cutOff: false,
        blocked: [A],
    },
    {
        name: "three endpoints are reached by peers only, and no own link has opened for a while",
        events: [[D, "opened", 0], [A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3]],
        at: 250,
        cutOff: true,
        blocked: [A, B, C, D],
    },
    {
        name: "three endpoints are reached by peers only, but an own link has just opened",
        events: [[D, "opened", 0], [A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3]],
        at: 249,
        cutOff: false,
        blocked: [A, B, C],
    },
    {
        name: "some links are lost while others open",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3], [D, "opened", 4], [A, "bypassed", 5]],
        at: 500,
        cutOff: false,
        blocked: [A, B, C],
    },
    {
        name: "an own link opens again",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [A, "opened", 3]],
        at: 4,
        cutOff: false,
        blocked: [B],
    },
    {
        name: "nothing was opened for long after the links were lost",
        events: [[A, "bypassed", 1], [B, "bypassed", 2]],
        at: 10_002,
        cutOff: false,
        blocked: [],
    },
];

cases.forEach(({ name, events, at, cutOff, blocked }) => {
    test(`links: ${name}`, t => {
        const state = events.reduce(
            (before, [address, kind, now]) => stepLinks(before, { kind, address }, now),
            initialLinks,
        );
        t.is(isCutOff(state, at), cutOff);
        t.deepEqual([A, B, C, D].filter(address => isBlocked(state, address, at)), [...blocked]);
        t.deepEqual([A, B, C, D].filter(address => headStartMs(state, address, at) === 0), [...blocked]);
    });
});
