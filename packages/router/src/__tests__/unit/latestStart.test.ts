import test from "ava";

import { latestStart } from "../../fleet/latestStart.js";
import { orderTiming } from "../../fleet/orderTiming.js";

// An engine that has just started is taken for one of long ago, and a late order of an earlier issuer goes unnoticed.

type View = Parameters<typeof latestStart>[0];

const NOW = 50_000;
const EPOCH = 1_700_000_050_000;
const settled: View = {
    entryBornAt: EPOCH - 30_000,
    reportBornAt: EPOCH - 30_000,
    knownSince: NOW - 10_000,
    epoch: EPOCH,
    now: NOW,
};

const cases: readonly { readonly name: string; readonly view: Partial<View>; readonly start: number; }[] = [
    { name: "by the wall clock, with its tolerance", view: {}, start: NOW - 30_000 + orderTiming.wallClockToleranceMs },
    { name: "by the own clock if that says more", view: { knownSince: NOW - 40_000 }, start: NOW - 40_000 },
    { name: "by the own clock if the entry states no start", view: { entryBornAt: 0 }, start: NOW - 10_000 },
    { name: "by the own clock if the report states no start", view: { reportBornAt: undefined }, start: NOW - 10_000 },
    { name: "just now if the report states an earlier start", view: { reportBornAt: EPOCH - 31_000 }, start: NOW },
];

cases.forEach(({ name, view, start }) => {
    test(`latest start of an engine: ${name}`, t => {
        t.is(latestStart({ ...settled, ...view }), start);
    });
});
