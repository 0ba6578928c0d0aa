import test from "ava";
import fc from "fast-check";

import { maxExcess } from "../fleet/maxExcess.js";
import { simulateVms } from "../fleet/simulateVms.js";
import type { SimulationOptions } from "../fleet/SimulationOptions.js";

// If a token is spent at two VMs or accrued twice, an organisation gets more than its rate and burst.
const FAULTY: readonly (Omit<SimulationOptions, "seed"> & { readonly name: string; })[] = [
    {
        name: "demand of several times the rate",
        rate: 10_000,
        burst: 20_000,
        demand: 60_000,
        maxTokens: 2_000,
        minUsedFraction: 1,
        faults: 1.5,
        messageFaults: 0.1,
        lengthMs: 15_000,
    },
    {
        name: "floods with lost and late messages",
        rate: 4_000,
        burst: 20_000,
        demand: 60_000,
        maxTokens: 800,
        minUsedFraction: 1,
        faults: 0.4,
        messageFaults: 0.1,
        lengthMs: 30_000,
        floodEveryMs: 7_000,
    },
    {
        name: "floods with far too high estimates",
        rate: 10_000,
        burst: 10_000,
        demand: 80_000,
        maxTokens: 1_500,
        minUsedFraction: 0.05,
        faults: 0.1,
        lengthMs: 15_000,
        floodEveryMs: 3_000,
    },
    {
        name: "floods while homes change",
        rate: 2_000,
        burst: 20_000,
        demand: 60_000,
        maxTokens: 800,
        minUsedFraction: 1,
        faults: 0.6,
        lengthMs: 40_000,
        floodEveryMs: 12_000,
    },
];

FAULTY.forEach(({ name, ...options }) =>
    test(`allowance: all VMs together stay within rate and burst: ${name}`, t => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 1_000_000 }), seed => {
                const { spends, unanswered } = simulateVms({ seed, ...options });
                return maxExcess(spends, options.rate, options.burst) <= 0 && spends.length > 0 && unanswered === 0;
            }),
            { seed: 4_711, numRuns: 8 },
        );
        t.pass();
    })
);

// If tokens are held by another VM, requests are refused although the organisation stays below its rate.
const NO_FAULTS = { rate: 10_000, burst: 20_000, maxTokens: 2_000, minUsedFraction: 1, faults: 0, lengthMs: 20_000 };
[
    { name: "at 0.7 of the rate, over all failure domains", demand: 7_000 },
    { name: "at 0.7 of the rate, in one failure domain", demand: 7_000, calledDomains: ["north"] },
    { name: "at half the rate, with requests of up to 0.3 of the burst", demand: 5_000, maxTokens: 6_000 },
    { name: "at 0.7 of the rate, with part of each charge unused", demand: 7_000, minUsedFraction: 0.4 },
].forEach(({ name, ...options }) =>
    test(`allowance: nothing is refused ${name}`, t => {
        [1, 2, 3, 4, 5, 6].forEach(seed => {
            const { spends, refusals } = simulateVms({ seed, ...NO_FAULTS, ...options });
            t.is(refusals.length, 0, `seed ${seed}`);
            t.true(spends.length > 0);
        });
    })
);

// If busy homes answer later than usual, and each ask is abandoned and sent again, no answer is ever accepted.
[
    { name: "in 300 ms", lagMs: 150 },
    { name: "in 400 ms", lagMs: 200 },
].forEach(({ name, lagMs }) =>
    test(`allowance: hardly anything is refused at a third of the rate while homes answer ${name}`, t => {
        const options = { ...NO_FAULTS, demand: 3_300, maxTokens: 500, lagMs };
        const runs = [1, 2, 3, 4, 5, 6].map(seed => simulateVms({ seed, ...options }));
        const refused = runs.reduce((sum, { refusals }) => sum + refusals.length, 0);
        const served = runs.reduce((sum, { spends }) => sum + spends.length, 0);
        t.true(refused <= 0.01 * served, `${refused} refused, ${served} served`);
        t.true(served > 0);
    })
);

// Without an early refusal, callers over their rate wait until their deadline of ten seconds before they are refused.
test("allowance: requests over the rate are refused early, and the full rate is served", t => {
    const options = { ...NO_FAULTS, demand: 50_000 };
    const { spends, refusals } = simulateVms({ seed: 3, ...options });
    const served = spends.reduce((sum, spend) => sum + spend.tokens, 0);
    t.true(refusals.length > 0);
    t.true(refusals.every(refusal => refusal.reason === "over-rate" && refusal.waitedMs <= 600));
    t.true(served >= options.rate * (options.lengthMs - 1_000) / 1_000);
});
