import test from "ava";

import { countedDeaths } from "../../countedDeaths.js";
import type { CrashEvent } from "../../CrashEvent.js";
import { emptyHistory } from "../../emptyHistory.js";
import { stepCrashHistory } from "../../stepCrashHistory.js";
import type { SuspectKey } from "../../SuspectKey.js";
import type { SuspectStage } from "../../SuspectStage.js";

const part = "part" as SuspectKey;
const other = "other" as SuspectKey;
const second = 1_000;

type Timed = readonly [number, CrashEvent];

const death = (name: string, stage: SuspectStage, key = part): CrashEvent => ({
    kind: "death",
    death: name,
    suspects: [{ key, stage }],
    ageMs: 0,
});
const answered = (at: number): Timed => [at, { kind: "answered", key: part, at }];

const cases: readonly { readonly name: string; readonly events: readonly Timed[]; readonly counted: number; }[] = [
    {
        name: "deaths at one moment count each if the answer had begun",
        events: [[0, death("a", "begun")], [1, death("b", "begun")], [2, death("c", "begun")]],
        counted: 3,
    },
    {
        name: "endpoints that die at one moment count once against a part that waited at each",
        events: [[0, death("a", "unsettled")], [1, death("b", "unsettled")], [2, death("c", "unsettled")]],
        counted: 1,
    },
    {
        name: "all endpoints that die at one moment count once, although nothing was answered yet",
        events: Array.from({ length: 13 }, (_, i) => [i, death(`e${i}`, "unsettled")]),
        counted: 1,
    },
    {
        name: "six endpoints with a part that waited count as three if they did not die at one moment",
        events: ["a", "b", "c", "d", "e", "f"].map((name, i) => [100 * i, death(name, "unsettled")]),
        counted: 3,
    },
    {
        name: "a part that waited counts once for each moment",
        events: [[0, death("a", "unsettled")], [second, death("b", "unsettled")], [
            2 * second,
            death("c", "unsettled"),
        ]],
        counted: 3,
    },
    {
        name: "a part that waited where an answer had begun is no suspect",
        events: [[0, death("a", "unsettled")], [1, death("a", "begun", other)]],
        counted: 0,
    },
    {
        name: "an answer clears a part of the deaths before it",
        events: [[0, death("a", "begun")], [1, death("b", "begun")], answered(2)],
        counted: 0,
    },
    {
        name: "deaths count again after the last answer, once a moment",
        events: [answered(0), [1, death("a", "begun")], [2, death("b", "begun")], [2 * second, death("c", "begun")]],
        counted: 2,
    },
];

// Guards against refusing sound parts that are at several deaths by chance, and against never refusing one that crashes.
cases.forEach(({ name, events, counted }) => {
    test(`counted deaths: ${name}`, t => {
        const history = events.reduce((before, [now, event]) => stepCrashHistory(before, event, now), emptyHistory);
        t.is(countedDeaths(history, part), counted);
    });
});
