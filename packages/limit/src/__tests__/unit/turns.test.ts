import test from "ava";

import type { EndpointLimit } from "../../EndpointLimit.js";
import { gatherTurns } from "../../gatherTurns.js";
import { hasTurn } from "../../hasTurn.js";
import { isExhausted } from "../../isExhausted.js";
import { lapseTurns } from "../../lapseTurns.js";
import { sentLately } from "../../sentLately.js";
import { turnsPerRequest } from "../../turnsPerRequest.js";
import { useTurn } from "../../useTurn.js";

const limit: EndpointLimit = {
    bornAt: 1,
    perSecond: 1,
    seenAt: 0,
    changedAt: 0,
    turns: 0.5,
    turnSince: 0,
    sentAt: [],
};
const load = {
    ownPerSecond: 10,
    ownEarlier: 10,
    othersPerSecond: 50,
    vms: 6,
    silentVms: 0,
    isSettling: false,
};

const fractions: readonly (readonly [name: string, perSecond: number, load: Partial<typeof load>, fraction: number])[] =
    [
        ["a part of all VMs' requests", 6, {}, 0.09],
        ["at most one", 1_000, {}, 1],
        ["an even share while the others have not stated theirs", 6, { othersPerSecond: 0, isSettling: true }, 0.09],
        ["half if half of the VMs are silent", 6, { silentVms: 3 }, 0.045],
        ["a third if its load is three times that of before", 6, { ownPerSecond: 31.2, othersPerSecond: 28.8 }, 0.03],
        ["of a limit of 0, so much that it gets a request every few seconds", 0, {}, 0.003],
        [
            "not a whole one if nobody has placed requests",
            1,
            { ownPerSecond: 0, othersPerSecond: 0, ownEarlier: 0 },
            0.375,
        ],
    ];
fractions.forEach(([name, perSecond, changes, fraction]) => {
    test(`turns: a request gives ${name}`, t => {
        t.true(Math.abs(turnsPerRequest(perSecond, { ...load, ...changes }) - fraction) < 1e-9);
    });
});

test("turns: with a whole one a request may be sent, which takes it", t => {
    t.false(hasTurn(limit));
    const gathered = gatherTurns(limit, 0.6, 100);
    t.true(hasTurn(gathered));
    const used = useTurn(gathered, 150);
    t.false(hasTurn(used));
    t.deepEqual([sentLately(used, 160), sentLately(used, 2_150)], [1, 0]);
});

test("turns: one that is not used in time lapses", t => {
    const gathered = gatherTurns(limit, 0.6, 100);
    t.true(hasTurn(gatherTurns(gathered, 0.1, 2_000)));
    t.false(hasTurn(gatherTurns(gathered, 0.1, 2_100)));
});

test("turns: no more than two are kept", t => {
    const kept = Array.from({ length: 5 }).reduce<EndpointLimit>(each => gatherTurns(each, 1, 100), limit);
    t.false(hasTurn(useTurn(useTurn(kept, 100), 100)));
});

test("turns: whole ones are dropped while the endpoint is exhausted", t => {
    t.false(hasTurn(lapseTurns({ ...limit, turns: 1.7 })));
    t.deepEqual([isExhausted(1, 3), isExhausted(1, 4)], [false, true]);
});
