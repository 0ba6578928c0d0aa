import test from "ava";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { routingOf } from "../support/routingOf.js";
import { seededRandom } from "../support/seededRandom.js";
import { simulateFreshness } from "../support/simulateFreshness.js";

// Every VM keeps a long-polling read of the declarations open, or the death of the reader leaves the other VMs'
// confirmations too old to serve.

const KEYS_MS = 4_400;

const confirmed = (confirmedAt: number, newestRevision = 1) => ({
    ...initialDeclaredState,
    configuration: routingOf(1, []),
    newestRevision,
    confirmedAt,
});

const due = [
    { name: "a reader always reads", declaredState: confirmed(9_900), requestedAt: 9_900, isReader: true, dueIn: 0 },
    {
        name: "a follower waits while its confirmation is recent",
        declaredState: confirmed(9_900),
        requestedAt: 1_000,
        isReader: false,
        dueIn: 2_400,
    },
    {
        name: "a follower whose confirmation is old reads",
        declaredState: confirmed(7_000),
        requestedAt: 1_000,
        isReader: false,
        dueIn: -500,
    },
    {
        name: "a follower that receives a newer revision number reads",
        declaredState: confirmed(9_900, 2),
        requestedAt: 1_000,
        isReader: false,
        dueIn: -8_750,
    },
    {
        name: "a follower that just read and did not find it waits, or dozens would read an outdated store in a loop",
        declaredState: confirmed(9_900, 2),
        requestedAt: 9_990,
        isReader: false,
        dueIn: 240,
    },
    {
        name: "a VM that just read and found no readable record waits",
        declaredState: initialDeclaredState,
        requestedAt: 9_990,
        isReader: false,
        dueIn: 240,
    },
    {
        name: "a VM without a configuration reads",
        declaredState: initialDeclaredState,
        requestedAt: -Infinity,
        isReader: false,
        dueIn: -Infinity,
    },
];
due.forEach(({ name, declaredState, requestedAt, isReader, dueIn }) => {
    test(`declarations: ${name}`, t => {
        t.is(declarationsDueIn({ declaredState, requestedAt, isReader }, 10_000), dueIn);
    });
});

const SEED = 7;
type Case = {
    readonly name: string;
    readonly vms: number;
    readonly loss: number;
    readonly isRefused: (vm: number, now: number) => boolean;
    readonly maxReads: number;
};

/**
 * Reads per second: those of the readers, of followers with an old confirmation, and retries of VMs that the store
 * refuses.
 */
const cases: readonly Case[] = [
    { name: "six VMs", vms: 6, loss: 0.02, isRefused: () => false, maxReads: 4 },
    { name: "sixty VMs", vms: 60, loss: 0.02, isRefused: () => false, maxReads: 8 },
    { name: "sixty VMs, a fifth of beacons lost", vms: 60, loss: 0.2, isRefused: () => false, maxReads: 12 },
    {
        name: "sixty VMs, the store refuses the readers of all domains",
        vms: 60,
        loss: 0.02,
        isRefused: (vm, now) => vm < 3 && now > 7_000,
        maxReads: 30,
    },
    {
        name: "sixty VMs, the store refuses a whole domain",
        vms: 60,
        loss: 0.02,
        isRefused: (vm, now) => vm % 3 === 0 && now > 7_000,
        maxReads: 100,
    },
];
cases.forEach(({ name, vms, loss, isRefused, maxReads }) => {
    test(`declarations: confirmations stay recent enough for keys: ${name}`, t => {
        const seen = simulateFreshness({ vms, domains: 3, forMs: 15_000, random: seededRandom(SEED), loss, isRefused });
        t.log(seen);
        t.true(seen.oldestMs < KEYS_MS, `${seen.oldestMs} ms`);
        t.true(seen.oldestRefusedMs < KEYS_MS, `${seen.oldestRefusedMs} ms on VMs that the store refuses`);
        t.true(seen.readsPerSecond <= maxReads, `${seen.readsPerSecond} reads per second`);
    });
});
