import test from "ava";

import { seededRandom } from "../support/seededRandom.js";
import { simulatePlacement } from "../support/simulatePlacement.js";

const SEEDS = [1, 2];
const FLEET = {
    lengthMs: 5_000,
    vms: 82,
    engines: 42,
    stores: 3,
    newsMs: [200, 700],
    mayBeSaved: (ownTokens: number, sharedTokens: number) => ownTokens <= sharedTokens,
    newWeightsAt: [1_500],
} as const;

type Run = Omit<Parameters<typeof simulatePlacement>[0], "random">;

const play = (change: Partial<Run>) =>
    SEEDS.map(seed => simulatePlacement({ ...FLEET, ...change, random: seededRandom(seed) }));
const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);
const fractionAgain = (change: Partial<Run>): number => {
    const results = play(change);
    return sumOf(results.map(({ again }) => again)) / sumOf(results.map(({ prefilled }) => prefilled));
};

// Dozens of VMs that each choose among dozens of engines, while new weights empty these, prefill the same parts over and
// over, as they learn a second late what another engine has.
test("prefilled again, simulated: less if VMs are told of prefilled parts at once, not in rounds over three hops", t => {
    const inRounds = fractionAgain({ newsMs: [500, 1_800] });
    const atOnce = fractionAgain({});
    t.true(atOnce < inRounds * 0.85, `${atOnce.toFixed(4)} of all prefilled tokens, ${inRounds.toFixed(4)} in rounds`);
});

// If all prompts are saved whole to one store, its link is full, and engines wait for it or start no transfers.
test("prefilled again, simulated: transfers do not wait for stores", t => {
    const waits = (change: Partial<Run>): number =>
        sumOf(play(change).map(({ storeWaitMs }) => storeWaitMs)) / SEEDS.length;
    const before = waits({ stores: 1, mayBeSaved: () => true });
    const after = waits({});
    t.true(before > 500, `${Math.round(before)} ms with one store for all prompts`);
    t.true(after < 50, `${Math.round(after)} ms`);
});
