import test from "ava";

import { initialService } from "../../initialService.js";
import type { Observation } from "../../Observation.js";
import type { PerformanceModel } from "../../PerformanceModel.js";
import { predict } from "../../predict.js";
import { speedOf } from "../../speedOf.js";
import type { StartLoad } from "../../StartLoad.js";
import { stepModel } from "../../stepModel.js";
import { stepSpread } from "../../stepSpread.js";

const idle: StartLoad = {
    slots: 32,
    running: 0,
    waitingTokens: 0,
    missingTokens: 1_800,
    fetchedTokens: 0,
    memoryTokens: 0,
    memorySize: 280_000,
};
const plain: StartLoad = { ...idle, missingTokens: 0, memorySize: 0 };
const unknown: PerformanceModel = { service: initialService, endpoint: undefined };
const startOf = (model: PerformanceModel | undefined, load: StartLoad, now: number): number => {
    const { queueMs, ownMs } = predict(model, load, now);
    return queueMs + ownMs;
};
const observe = (
    model: PerformanceModel,
    starts: readonly number[],
    more: Partial<Observation> = {},
): PerformanceModel =>
    starts.reduce<PerformanceModel>((before, startMs, i) => {
        const observation = { bornAt: 1, load: idle, distanceMs: 0, sentAt: i, startMs, lagMs: 0, ...more };
        return stepModel(before, { outcome: "started", ...observation }, i);
    }, model);
const times = (count: number, ms: number): readonly number[] => Array.from({ length: count }, () => ms);
const NORMAL_MS = 75;
const known = observe(unknown, times(20, NORMAL_MS));

type Case = readonly [name: string, model: PerformanceModel, least: number, most: number];

// Guards against figures that follow what does not come from the endpoint, or that outlast what they describe.
const cases: readonly Case[] = [
    ["as the constants say: exactly these", observe(unknown, times(20, 80)), NORMAL_MS, NORMAL_MS],
    ["one odd sample", observe(known, [1_000]), NORMAL_MS, NORMAL_MS],
    ["two odd samples", observe(known, [1_000, 1_000]), NORMAL_MS, NORMAL_MS],
    ["three slow samples in a row", observe(known, [450, 450, 450]), 350, 450],
    ["one sample as before after these", observe(known, [450, 450, 450, 75]), NORMAL_MS, NORMAL_MS],
    ["slow samples while this process runs late", observe(known, times(9, 450), { lagMs: 100 }), NORMAL_MS, NORMAL_MS],
    ["tries that ended early", observe(known, times(9, 20), { outcome: "waited" }), NORMAL_MS, NORMAL_MS],
    ["tries that waited for long", observe(known, times(9, 450), { outcome: "waited" }), 350, 450],
    ["slow samples, then another incarnation", observe(observe(known, times(9, 450)), [75], { bornAt: 2 }), 70, 80],
    ["an endpoint at half the speed", observe(unknown, times(20, 150)), 130, 150],
];
cases.forEach(([name, model, least, most]) => {
    test(`predicted start: ${name}`, t => {
        const startMs = startOf(model, idle, 20);
        t.true(startMs >= least && startMs <= most, String(startMs));
    });
});

test("predicted start: an endpoint that was slow for a moment is tried again after some seconds", t => {
    const slow = observe(known, times(3, 450));
    t.true(startOf(slow, idle, 10_000) < 1.3 * NORMAL_MS);
});

test("predicted start: the plain work is learned", t => {
    const model = observe(unknown, times(20, 61), { load: plain });
    t.true(Math.abs(startOf(model, plain, 20) / 61 - 1) < 0.15);
});

test("predicted start: an endpoint that is not known is as fast as the median", t => {
    const speeds = [1.7, 0.7, 0.7].map(speed => observe(unknown, times(20, NORMAL_MS / speed)).endpoint);
    const service = stepSpread(known.service, speeds.flatMap(each => each ?? []));
    t.true(Math.abs(startOf({ service, endpoint: undefined }, idle, 20) / (NORMAL_MS / 0.7) - 1) < 0.1);
    t.true(Math.abs(speedOf({ service, endpoint: speeds[0] }, 20) / (1.7 / 0.7) - 1) < 0.15);
});
