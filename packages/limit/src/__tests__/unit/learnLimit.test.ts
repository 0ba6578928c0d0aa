import test from "ava";

import type { EndpointLimit } from "../../EndpointLimit.js";
import { learnLimit } from "../../learnLimit.js";

const NOW = 1_000;
const known: EndpointLimit = {
    bornAt: 5,
    perSecond: 2,
    seenAt: 500,
    changedAt: 400,
    turns: 0.3,
    turnSince: 0,
    sentAt: [],
};

type Case = readonly [
    name: string,
    known: EndpointLimit | undefined,
    statement: Parameters<typeof learnLimit>[1],
    perSecond: number | undefined,
];

// Guards against an older statement of a limit that replaces a newer one: of its end, of another limit, of a restart.
const cases: readonly Case[] = [
    ["the first limit", undefined, { bornAt: 5, perSecond: 3, seenAt: 900 }, 3],
    ["no limit where none was", undefined, { bornAt: 5, perSecond: undefined, seenAt: 900 }, undefined],
    ["another limit", known, { bornAt: 5, perSecond: 3, seenAt: 900 }, 3],
    ["the end of the limit", known, { bornAt: 5, perSecond: undefined, seenAt: 900 }, undefined],
    ["a limit of 0", known, { bornAt: 5, perSecond: 0, seenAt: 900 }, 0],
    ["an older statement of another limit", known, { bornAt: 5, perSecond: 3, seenAt: 400 }, 2],
    ["an older statement of its end", known, { bornAt: 5, perSecond: undefined, seenAt: 400 }, 2],
    ["a statement of an earlier incarnation", known, { bornAt: 4, perSecond: 3, seenAt: 900 }, 2],
    ["an older statement of a later incarnation", known, { bornAt: 6, perSecond: 3, seenAt: 400 }, 3],
    ["a later incarnation without a limit", known, { bornAt: 6, perSecond: undefined, seenAt: 900 }, undefined],
];
cases.forEach(([name, before, statement, perSecond]) => {
    test(`endpoint limit: what is known after ${name}`, t => {
        t.is(learnLimit(before, statement, 0.5, NOW)?.perSecond, perSecond);
    });
});

test("endpoint limit: a repeated statement changes its age only", t => {
    t.deepEqual(learnLimit(known, { bornAt: 5, perSecond: 2, seenAt: 900 }, 0.5, NOW), { ...known, seenAt: 900 });
});
