import type { Millis } from "@azureshunt/core";
import test from "ava";

import { listedVm } from "../support/listedVm.js";
import { seededRandom } from "../support/seededRandom.js";
import { simulateFreshness } from "../support/simulateFreshness.js";

type Simulation = Parameters<typeof simulateFreshness>[0];
type Case = {
    readonly name: string;
    readonly vms?: number;
    /** Time in which a change must be in force on VMs that the store serves. */
    readonly configurationMs?: Millis;
    readonly loss?: number;
    readonly isSilent?: boolean;
    /** What fails at a time. */
    readonly failure: (failedAt: Millis) => Partial<Pick<Simulation, "isRefused" | "killAt" | "isOpen" | "pauses">>;
};

const KEYS_MS: Millis = 4_400;
const SEED = 7;
/** When the change before the one that is measured is made: all VMs read it shortly before the failure. */
const CHANGE_AT: Millis = 8_900;
const FAILED_AT: readonly Millis[] = [8_950, 9_050, 9_150, 9_250, 9_600];
/** Times from the failure to the change. */
const CHANGED_AFTER: readonly Millis[] = [10, 150, 900];

const refusing = (vms: readonly number[]): Case["failure"] => failedAt => ({
    isRefused: (vm, now) => vms.includes(vm) && now >= failedAt,
});

const cases: readonly Case[] = [
    { name: "the reader reads", failure: () => ({}) },
    { name: "the store refuses the reader", failure: refusing([0]) },
    { name: "the store refuses the reader and that of another domain", failure: refusing([0, 1]) },
    { name: "the store refuses the reader and the other VM of its domain", failure: refusing([0, 3]) },
    { name: "the store is silent to the reader", isSilent: true, failure: refusing([0]) },
    { name: "the store is silent to the readers of two domains", isSilent: true, failure: refusing([0, 1]) },
    { name: "the store refuses the reader, a fifth of the beacons are lost", loss: 0.2, failure: refusing([0]) },
    { name: "the reader is killed", failure: killAt => ({ killAt }) },
    {
        name: "the reader is frozen",
        failure: at => ({ pauses: [{ vm: listedVm(0, 0).vm, at, forMs: 6_000, kind: "counted" }] }),
    },
    {
        name: "the reader's domain is cut off",
        failure: at => ({ isOpen: (a, b, now) => now < at || (a === 0) === (b === 0) }),
    },
    {
        name: "the store refuses the readers of two domains among 30 VMs",
        vms: 30,
        configurationMs: 3_000,
        failure: refusing([0, 1]),
    },
    { name: "all domains are cut off", failure: at => ({ isOpen: (a, b, now) => now < at || a === b }) },
];

// The one VM that reads for all fails as a change is acknowledged, and VMs that the store serves decide by the
// configuration before for longer than allowed.
cases.forEach(({ name, vms = 6, configurationMs = 2_000, loss = 0, isSilent = false, failure }) => {
    test(`change in force in time: ${name}`, t => {
        const seen = FAILED_AT.flatMap(failedAt =>
            CHANGED_AFTER.map(afterMs =>
                simulateFreshness({
                    vms,
                    domains: 3,
                    forMs: 13_500,
                    random: seededRandom(SEED + afterMs),
                    loss,
                    isSilent,
                    isRefused: () => false,
                    keysMs: KEYS_MS,
                    configurationMs,
                    changeAt: CHANGE_AT,
                    withdrawAt: failedAt + afterMs,
                    ...failure(failedAt),
                }).acceptedWithStoreForMs
            )
        );
        t.log(seen);
        t.true(Math.max(...seen) < configurationMs, `${Math.max(...seen)} ms`);
    });
});
