import test from "ava";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { evidenceFleet } from "../support/evidenceFleet.js";
import { routingOf } from "../support/routingOf.js";
import { seededRandom } from "../support/seededRandom.js";

// Every VM keeps a read of the declarations waiting, or the reader's end leaves the others' evidence too old to serve.

const KEYS_MS = 4_400;

const confirmed = (confirmedAt: number, heardRevision = 1) => ({
    ...noKnowledge,
    configuration: routingOf(1, []),
    heardRevision,
    confirmedAt,
});

const due = [
    { name: "a reader reads all the time", knowledge: confirmed(9_900), askedAt: 9_900, isReader: true, dueIn: 0 },
    {
        name: "a follower waits while its evidence is young",
        knowledge: confirmed(9_900),
        askedAt: 1_000,
        isReader: false,
        dueIn: 2_400,
    },
    {
        name: "a follower whose evidence is old reads",
        knowledge: confirmed(7_000),
        askedAt: 1_000,
        isReader: false,
        dueIn: -500,
    },
    {
        name: "a follower that hears of a newer revision reads",
        knowledge: confirmed(9_900, 2),
        askedAt: 1_000,
        isReader: false,
        dueIn: -8_750,
    },
    {
        name: "one that has just read and did not find it waits: dozens would ask a store that is behind without pause",
        knowledge: confirmed(9_900, 2),
        askedAt: 9_990,
        isReader: false,
        dueIn: 240,
    },
    {
        name: "one that has just read and found nothing that it can read waits",
        knowledge: noKnowledge,
        askedAt: 9_990,
        isReader: false,
        dueIn: 240,
    },
    {
        name: "one that knows nothing reads",
        knowledge: noKnowledge,
        askedAt: -Infinity,
        isReader: false,
        dueIn: -Infinity,
    },
];
due.forEach(({ name, knowledge, askedAt, isReader, dueIn }) => {
    test(`declarations: ${name}`, t => {
        t.is(declarationsDueIn({ knowledge, askedAt, isReader }, 10_000), dueIn);
    });
});

const SEED = 7;
type Case = {
    readonly name: string;
    readonly vms: number;
    readonly loss: number;
    readonly isTurnedAway: (vm: number, now: number) => boolean;
    readonly mostReads: number;
};

/** Reads a second: each reader's wait, the followers that took over or doubted, and the tries of those turned away. */
const cases: readonly Case[] = [
    { name: "six VMs", vms: 6, loss: 0.02, isTurnedAway: () => false, mostReads: 4 },
    { name: "sixty VMs", vms: 60, loss: 0.02, isTurnedAway: () => false, mostReads: 8 },
    { name: "sixty VMs, a fifth of beacons lost", vms: 60, loss: 0.2, isTurnedAway: () => false, mostReads: 12 },
    {
        name: "sixty VMs, the store turns the readers of all domains away",
        vms: 60,
        loss: 0.02,
        isTurnedAway: (vm, now) => vm < 3 && now > 7_000,
        mostReads: 30,
    },
    {
        name: "sixty VMs, the store turns a whole domain away",
        vms: 60,
        loss: 0.02,
        isTurnedAway: (vm, now) => vm % 3 === 0 && now > 7_000,
        mostReads: 100,
    },
];
cases.forEach(({ name, vms, loss, isTurnedAway, mostReads }) => {
    test(`declarations: evidence stays young enough for keys: ${name}`, t => {
        const seen = evidenceFleet({ vms, domains: 3, forMs: 15_000, random: seededRandom(SEED), loss, isTurnedAway });
        t.log(seen);
        t.true(seen.oldestMs < KEYS_MS, `${seen.oldestMs} ms`);
        t.true(seen.oldestTurnedAwayMs < KEYS_MS, `${seen.oldestTurnedAwayMs} ms where the store turns it away`);
        t.true(seen.readsPerSecond <= mostReads, `${seen.readsPerSecond} reads a second`);
    });
});
