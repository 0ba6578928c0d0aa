import test from "ava";

import { simulateWaiting } from "../support/simulateWaiting.js";

/** One seed alone changes the share of the most urgent kind, of 370 requests, by several hundredths. */
const SEEDS = [5, 6, 7];

type Result = Awaited<ReturnType<typeof simulateWaiting>>;

const shareOf = (results: readonly Result[], counted: (result: Result) => Result["kinds"][number]): number =>
    results.reduce((sum, result) => sum + counted(result).inTime / counted(result).sent, 0) / results.length;

// Guards against less urgent requests that fill the engines while more urgent ones are refused, against kinds and
// organisations that starve, and against requests that are held until their callers give up. The least shares are those
// of the most urgent and of the other kind.
const cases = [
    { name: "the usual load: nothing changes", load: {}, gain: 0, least: [0.99, 0.98] },
    { name: "the other kind at 2.3 times", load: { bursts: [1, 2.3] }, gain: 0.15, least: [0.75, 0.6] },
    { name: "the most urgent kind at 1.9 times", load: { bursts: [1.9, 1] }, gain: 0, least: [0.9, 0.7] },
    { name: "one organisation at 6 times", load: { organisationFactor: 6 }, gain: 0, least: [0.9, 0.7] },
    { name: "beacons 3 s apart", load: { bursts: [1, 2.3], beaconMs: 3_000 }, gain: 0.15, least: [0.75, 0.6] },
    { name: "a VM stops in a burst", load: { bursts: [1, 2.3], stopAt: 5_500 }, gain: 0.1, least: [0.7, 0.6] },
    { name: "the most urgent kind at 4.5 times", load: { bursts: [4.5, 1] }, gain: 0, least: [0.5, 0.25] },
] as const;
cases.forEach(({ name, load, gain, least }) => {
    test(`waiting: ${name}`, async t => {
        const run = (way: "refused" | "waits"): Promise<readonly Result[]> =>
            Promise.all(SEEDS.map(seed => simulateWaiting({ ...load, way, seed })));
        const [before, after] = await Promise.all([run("refused"), run("waits")]);
        const [urgent, other] = [shareOf(after, ({ kinds }) => kinds[0]!), shareOf(after, ({ kinds }) => kinds[1]!)];
        const urgentBefore = shareOf(before, ({ kinds }) => kinds[0]!);
        t.true(urgent >= urgentBefore + gain, `${urgentBefore} of the most urgent, then ${urgent}`);
        t.true(urgent >= least[0] && other >= least[1], `${urgent}, ${other}`);
        t.true(urgent >= other - 0.02, `${urgent} of the most urgent, ${other} of the other kind`);
        t.is(after.some(({ stoppedWaiting }) => stoppedWaiting > 0), "stopAt" in load);
        after.forEach(({ organisations, heldShare, waiting }) => {
            t.true(organisations.every(({ sent, inTime }) => inTime / sent >= other / 4));
            t.true(heldShare < 0.34, `held for ${heldShare} of the time to the deadline`);
            t.true(!("stopAt" in load) || waiting[0] === 0);
        });
    });
});
