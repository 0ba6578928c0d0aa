import test from "ava";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";
import { listedVm } from "../support/listedVm.js";
import { routingOf } from "../support/routingOf.js";
import { seededRandom } from "../support/seededRandom.js";
import { simulateFreshness } from "../support/simulateFreshness.js";

// Every VM keeps a long-polling read of the declarations open, or the death of the reader leaves the other VMs'
// confirmations too old to serve.

const KEYS_MS = 4_400;
const CONFIGURATION_MS = 2_000;

const confirmed = (confirmedAt: number, newestRevision = 1) => ({
    ...initialDeclaredState,
    configuration: routingOf(1, []),
    newestRevision,
    confirmedAt,
});

type DueCase = Omit<Parameters<typeof declarationsDueIn>[0], "configurationMs"> & {
    readonly name: string;
    readonly configurationMs?: number;
    readonly dueIn: number;
};

const due: readonly DueCase[] = [
    { name: "a reader always reads", declaredState: confirmed(9_900), requestedAt: 9_900, scope: "fleet", dueIn: 0 },
    {
        name: "a follower waits while its confirmation is recent",
        declaredState: confirmed(9_900),
        requestedAt: 1_000,
        scope: "none",
        dueIn: 1_500,
    },
    {
        name: "the reader of a failure domain waits longer than a read of the reader of all VMs takes",
        declaredState: confirmed(9_900),
        requestedAt: 1_000,
        scope: "domain",
        dueIn: 1_300,
    },
    {
        name: "the reader of a failure domain reads before the others of its domain",
        declaredState: confirmed(8_500),
        requestedAt: 1_000,
        scope: "domain",
        dueIn: -100,
    },
    {
        name: "a follower whose confirmation is old reads",
        declaredState: confirmed(7_000),
        requestedAt: 1_000,
        scope: "none",
        dueIn: -1_400,
    },
    {
        name: "a follower waits longer where changes may come into force later",
        declaredState: confirmed(9_900),
        requestedAt: 1_000,
        scope: "none",
        configurationMs: 3_000,
        dueIn: 2_300,
    },
    {
        name: "a follower reads early enough for keys to stay confirmed, however late changes may come into force",
        declaredState: confirmed(9_900),
        requestedAt: 1_000,
        scope: "none",
        configurationMs: 60_000,
        dueIn: 2_400,
    },
    {
        name: "a follower that receives a newer revision number reads",
        declaredState: confirmed(9_900, 2),
        requestedAt: 1_000,
        scope: "none",
        dueIn: -8_750,
    },
    {
        name: "a follower that just read and did not find it waits, or dozens would read an outdated store in a loop",
        declaredState: confirmed(9_900, 2),
        requestedAt: 9_990,
        scope: "none",
        dueIn: 240,
    },
    {
        name: "a VM that just read and found no readable record waits",
        declaredState: initialDeclaredState,
        requestedAt: 9_990,
        scope: "none",
        dueIn: 240,
    },
    {
        name: "a VM without a configuration reads",
        declaredState: initialDeclaredState,
        requestedAt: -Infinity,
        scope: "none",
        dueIn: -Infinity,
    },
];
due.forEach(({ name, dueIn, ...inputs }) => {
    test(`declarations: ${name}`, t => {
        t.is(declarationsDueIn({ configurationMs: CONFIGURATION_MS, ...inputs }, 10_000), dueIn);
    });
});

type WaitCase = Partial<Parameters<typeof readerWaitMs>[0]> & { readonly name: string; readonly waitMs: number; };

const waits: readonly WaitCase[] = [
    { name: "few VMs of one failure domain", isForDomains: false, waitMs: 1_100 },
    { name: "many VMs of one failure domain", isForDomains: false, beaconIntervalMs: 500, waitMs: 950 },
    { name: "few VMs of several failure domains", waitMs: 950 },
    { name: "changes must be in force sooner", configurationMs: 1_000, waitMs: 250 },
    { name: "it takes over from a reader that died", declaredState: confirmed(9_200), waitMs: 500 },
    {
        name: "it takes over, having read long ago",
        declaredState: confirmed(9_200),
        requestedAt: 9_200,
        waitMs: 500,
    },
    { name: "it takes over when confirmations have become too old", declaredState: confirmed(7_000), waitMs: 0 },
    {
        name: "no read has confirmed anything, and must not be repeated in a loop",
        declaredState: confirmed(7_000),
        requestedAt: 9_900,
        waitMs: 950,
    },
    { name: "the process was suspended", declaredState: initialDeclaredState, requestedAt: 9_900, waitMs: 950 },
];
waits.forEach(({ name, waitMs, ...inputs }) => {
    test(`declarations: wait of a reader: ${name}`, t => {
        const usual = {
            declaredState: confirmed(9_990),
            requestedAt: 1_000,
            beaconIntervalMs: 200,
            isForDomains: true,
            configurationMs: CONFIGURATION_MS,
        };
        t.is(readerWaitMs({ ...usual, ...inputs }, 10_000), waitMs);
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
        const seen = simulateFreshness({
            vms,
            domains: 3,
            forMs: 15_000,
            random: seededRandom(SEED),
            loss,
            isRefused,
            keysMs: KEYS_MS,
            configurationMs: CONFIGURATION_MS,
        });
        t.log(seen);
        t.true(seen.oldestMs < KEYS_MS, `${seen.oldestMs} ms`);
        t.true(seen.oldestRefusedMs < KEYS_MS, `${seen.oldestRefusedMs} ms on VMs that the store refuses`);
        t.true(seen.readsPerSecond <= maxReads, `${seen.readsPerSecond} reads per second`);
    });
});

type Withdrawal = {
    readonly name: string;
    readonly loss?: number;
    readonly killAt?: number;
    readonly isRefused?: Case["isRefused"];
    readonly isOpen?: NonNullable<Parameters<typeof simulateFreshness>[0]["isOpen"]>;
    readonly pauses?: ReturnType<typeof pausesOf>;
};

/** The processes of the reader and of two VMs that follow it do not run for times in which the key is withdrawn. */
const pausesOf = (kind: "counted" | "uncounted") =>
    [[0, 0, 8_950, 6_000], [0, 1, 9_050, 4_000], [1, 2, 8_800, 2_400]].map((
        [domain = 0, place = 0, at = 0, forMs = 0],
    ) => ({
        vm: listedVm(domain, place).vm,
        at,
        forMs,
        kind,
    }));

// A key is withdrawn while the one VM that reads for all is not heard, and a VM accepts it for longer than allowed, or all
// VMs refuse valid keys.
const FAILED_AT = 9_000;
const withdrawals: readonly Withdrawal[] = [
    { name: "the reader reads" },
    { name: "a fifth of the beacons are lost", loss: 0.2 },
    { name: "the reader is killed or frozen", killAt: FAILED_AT },
    { name: "the reader is killed or frozen, a fifth of the beacons are lost", killAt: FAILED_AT, loss: 0.2 },
    { name: "the store does not answer the reader", isRefused: (vm, now) => vm === 0 && now > FAILED_AT },
    { name: "the reader and two others do not run, their clocks go on", pauses: pausesOf("counted") },
    { name: "the reader and two others do not run, their clocks stand still", pauses: pausesOf("uncounted") },
    { name: "the reader's domain is cut off", isOpen: (a, b, now) => now < FAILED_AT || (a === 0) === (b === 0) },
    { name: "all domains are cut off", isOpen: (a, b, now) => now < FAILED_AT || a === b },
    {
        name: "the reader's domain hears the others, but not they it",
        isOpen: (a, b, now) => now < FAILED_AT || a !== 0 || b === 0,
    },
];
withdrawals.forEach(({ name, loss = 0.02, isRefused = () => false, ...failure }) => {
    test(`declarations: a withdrawal takes effect in time: ${name}`, t => {
        const seen = [9_100, 9_900, 11_000].map((withdrawAt, i) =>
            simulateFreshness({
                vms: 20,
                domains: 4,
                forMs: 17_000,
                random: seededRandom(SEED + i),
                loss,
                isRefused,
                keysMs: KEYS_MS,
                configurationMs: CONFIGURATION_MS,
                withdrawAt,
                ...failure,
            })
        );
        t.log(seen);
        seen.forEach(({ oldestMs, acceptedForMs }) => {
            t.true(oldestMs < KEYS_MS, `${oldestMs} ms`);
            t.true(acceptedForMs < KEYS_MS, `accepted for ${acceptedForMs} ms`);
        });
    });
});
