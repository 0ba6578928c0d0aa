import type { OrganisationId } from "@azureshunt/core";
import test from "ava";

import { createRelayCounters } from "../../allowance/createRelayCounters.js";

const ORGANISATION = "org" as OrganisationId;
const SILENT_MS = 1_000;

/** An update without a counter only shows that the relay is alive. */
type Update = readonly [atMs: number, relay: string, counter?: number];
type Case = { readonly name: string; readonly updates: readonly Update[]; readonly added: number; };

// Spending counts twice, or never, if two relays send it and one of them stops.
const cases: readonly Case[] = [
    { name: "the first update of a relay adds nothing", updates: [[0, "a", 50]], added: 0 },
    { name: "further spending is added", updates: [[0, "a", 50], [500, "a", 70]], added: 20 },
    { name: "refunded tokens are subtracted", updates: [[0, "a", 50], [500, "a", 40]], added: -10 },
    {
        name: "a second relay adds nothing while the first one sends",
        updates: [[0, "a", 50], [100, "b", 10], [500, "a", 70], [600, "b", 30]],
        added: 20,
    },
    {
        name: "the second relay continues from its last update but one when the first one becomes silent",
        updates: [[0, "a", 50], [100, "b", 10], [500, "a", 70], [600, "b", 30], [1_000, "a", 90], [1_100, "b", 50], [
            2_001,
            "b",
            95,
        ]],
        added: 40 + 85,
    },
    {
        name: "spending that the silent relay missed is counted",
        updates: [[0, "a", 0], [1, "b", 0], [500, "a", 0], [900, "b", 7], [1_000, "a", 0], [2_001, "b", 7]],
        added: 7,
    },
    {
        name: "a relay whose updates are empty is not silent",
        updates: [[0, "a", 50], [1, "b", 0], [900, "a"], [1_800, "a"], [1_900, "b", 30], [2_000, "a", 80]],
        added: 30,
    },
    {
        name: "a restarted relay starts again",
        updates: [[0, "a", 50], [500, "a", 70], [2_000, "a2", 5], [2_500, "a2", 9]],
        added: 24,
    },
];
cases.forEach(({ name, updates, added }) => {
    test(`relay counters: ${name}`, t => {
        const time = { now: 0 };
        const clock = { now: () => time.now, epoch: () => time.now };
        const counters = createRelayCounters(clock, () => SILENT_MS);
        const sum = updates.flatMap(([at, relay, counter], sequence) => {
            time.now = at;
            const rows = counter === undefined ? [] : [[ORGANISATION, counter] as const];
            return counters.receiveUpdate({
                spender: "fleet",
                relay,
                sequence,
                rows,
                assumedFrom: () => undefined,
                isStartedLater: () => false,
            });
        }).reduce((all, [, tokens]) => all + tokens, 0);
        t.is(sum, added);
    });
});

test("relay counters: the whole first counter of a relay is added if its process started later", t => {
    const counters = createRelayCounters({ now: () => 0, epoch: () => 0 }, () => SILENT_MS);
    const rows = [[ORGANISATION, 50] as const];
    const update = { spender: "fleet" as const, relay: "a", sequence: 1, rows };
    const further = counters.receiveUpdate({ ...update, assumedFrom: () => undefined, isStartedLater: () => true });
    t.deepEqual(further, rows);
});

// A VM that was a relay briefly at its start, and becomes one again, counts again what it received in other ways in
// between.
[
    { name: "starts again if spending came in other ways for long", assumedFrom: undefined, added: 0 },
    { name: "continues after a silence during which spending was assumed", assumedFrom: 2_000, added: 40 },
].forEach(({ name, assumedFrom, added }) =>
    test(`relay counters: a relay's counter ${name}`, t => {
        const time = { now: 0 };
        const counters = createRelayCounters({ now: () => time.now, epoch: () => time.now }, () => SILENT_MS);
        const update = {
            spender: "fleet" as const,
            relay: "a",
            isStartedLater: () => false,
            assumedFrom: () => assumedFrom,
        };
        counters.receiveUpdate({ ...update, sequence: 1, rows: [[ORGANISATION, 50]] });
        time.now = 60_000;
        t.deepEqual(counters.receiveUpdate({ ...update, sequence: 2, rows: [[ORGANISATION, 90]] }), [[
            ORGANISATION,
            added,
        ]]);
    })
);
