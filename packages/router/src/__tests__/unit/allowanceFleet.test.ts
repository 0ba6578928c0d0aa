import test from "ava";

import { allowanceFleet } from "../support/allowanceFleet.js";
import { seededRandom } from "../support/seededRandom.js";

// Dozens of VMs see at once that a bucket holds tokens again, and an organisation gets more than its rate and burst.

const RATE = 100_000;
const BURST = 200_000;
const WINDOW_MS = 8_000;
/** Tokens allowed in a window: a tenth more than rate and burst, and a fixed slack. */
const ALLOWED = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 140_000;
const FOR_MS = 22_000;

type Case = {
    readonly name: string;
    readonly vms: number;
    readonly beaconIntervalMs: number;
    /** Demand from second 8 to 18 as a multiple of the rate; before and after, it is 0.7 of the rate. */
    readonly peak: number;
    /** Minimum fraction that the organisation must get of what it is owed. */
    readonly minFraction: number;
};

const PEAK_FROM_MS = 8_000;
const PEAK_TO_MS = 18_000;
const USUAL = 0.7;

const cases: readonly Case[] = [
    { name: "66 VMs, within the rate", vms: 66, beaconIntervalMs: 1_000, peak: USUAL, minFraction: 1 },
    { name: "66 VMs, seven times the rate", vms: 66, beaconIntervalMs: 1_000, peak: 7.5, minFraction: 0.9 },
    { name: "66 VMs, twice the rate", vms: 66, beaconIntervalMs: 1_000, peak: 2, minFraction: 0.9 },
    { name: "6 VMs, seven times the rate", vms: 6, beaconIntervalMs: 200, peak: 7.5, minFraction: 0.9 },
    { name: "6 VMs, within the rate", vms: 6, beaconIntervalMs: 200, peak: USUAL, minFraction: 1 },
];
const SEEDS = [1, 2, 3];

cases.forEach(({ name, vms, beaconIntervalMs, peak, minFraction }) => {
    test(`allowances of all VMs: ${name}`, t => {
        SEEDS.forEach(seed => {
            const random = seededRandom(seed);
            const timesRate = (now: number): number => now >= PEAK_FROM_MS && now < PEAK_TO_MS ? peak : USUAL;
            const granted = allowanceFleet({
                vms,
                beaconIntervalMs,
                ratePerSecond: RATE,
                burst: BURST,
                demandAt: now => RATE * timesRate(now),
                // Sizes from a tenth to ten times the usual one, as prompts are long and short.
                requestTokens: () => Math.round(6_000 * 10 ** (2 * random() - 1)),
                forMs: FOR_MS,
                random,
            });
            const windows = granted.map(({ at }) =>
                granted.filter(each => each.at >= at && each.at < at + WINDOW_MS)
                    .reduce((sum, each) => sum + each.granted, 0)
            );
            const most = Math.max(...windows);
            const got = granted.reduce((sum, each) => sum + each.granted, 0);
            // An organisation that requests several times its rate is owed the rate.
            const owed = granted.reduce((sum, { at, asked }) => sum + asked * Math.min(1, 1 / timesRate(at)), 0);
            t.log({ seed, most, owed, got });
            t.true(most <= ALLOWED, `${most} of ${ALLOWED} in a window`);
            t.true(got >= minFraction * owed, `${got} of ${owed} owed`);
        });
    });
});
