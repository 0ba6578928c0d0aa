import test from "ava";
import fc from "fast-check";

import type { CrashEvent } from "../../CrashEvent.js";
import type { CrashHistory } from "../../CrashHistory.js";
import { crashLimits } from "../../crashLimits.js";
import { emptyHistory } from "../../emptyHistory.js";
import { stepCrashHistory } from "../../stepCrashHistory.js";
import type { SuspectKey } from "../../SuspectKey.js";

const SEED = 20_261_203;
const crashing = "crashing" as SuspectKey;
const unrelated = "unrelated" as SuspectKey;
const second = 1_000;

type Timed = readonly [number, CrashEvent];

const death = (name: string, ...running: readonly SuspectKey[]): CrashEvent => ({
    kind: "death",
    death: name,
    suspects: running.map(key => ({ key, stage: "request" })),
    ageMs: 0,
});

const after = (events: readonly Timed[]): CrashHistory =>
    events.reduce((history, [now, event]) => stepCrashHistory(history, event, now), emptyHistory);

type Case = { readonly name: string; readonly events: readonly Timed[]; readonly quarantined: readonly string[]; };

const cases: readonly Case[] = [
    {
        name: "two deaths do not quarantine a request",
        events: [[0, death("a/1", crashing)], [second, death("b/1", crashing)]],
        quarantined: [],
    },
    {
        name: "three deaths quarantine a request, but not one that was running at two of them",
        events: [
            [0, death("a/1", crashing, unrelated)],
            [second, death("b/1", crashing, unrelated)],
            [2 * second, death("a/2", crashing)],
        ],
        quarantined: [crashing],
    },
    {
        name: "one death reported by several VMs counts once",
        events: [[0, death("a/1", crashing)], [1, death("a/1", crashing)], [2, death("a/1", crashing)]],
        quarantined: [],
    },
    {
        name: "deaths far apart do not add up",
        events: [
            [0, death("a/1", crashing)],
            [crashLimits.rememberedMs, { kind: "tick" }],
            [crashLimits.rememberedMs, death("b/1", crashing)],
            [crashLimits.rememberedMs + 1, death("c/1", crashing)],
        ],
        quarantined: [],
    },
    {
        name: "a request quarantined by another VM is quarantined here for the same time",
        events: [[0, { kind: "quarantined", key: crashing, forMs: second }], [second - 1, { kind: "tick" }]],
        quarantined: [crashing],
    },
    {
        name: "the quarantine by another VM ends after that time",
        events: [[0, { kind: "quarantined", key: crashing, forMs: second }], [second, { kind: "tick" }]],
        quarantined: [],
    },
];

cases.forEach(({ name, events, quarantined }) => {
    test(`quarantine: ${name}`, t => {
        t.deepEqual([...after(events).quarantined.keys()], quarantined as SuspectKey[]);
    });
});

// Lost and repeated updates keep a VM from quarantining a request after three known deaths, or fill its memory.
test("quarantine: a VM that knows of three deaths quarantines the request, whatever it received in between", t => {
    const deaths = ["a/1", "b/1", "c/1"];
    fc.assert(
        fc.property(
            fc.shuffledSubarray([...deaths, ...deaths], { minLength: 6 }),
            fc.array(fc.nat(4_000), { maxLength: 20 }),
            (order, others) => {
                const known = new Set<string>();
                const state = { history: emptyHistory };
                return order.every((name, i) => {
                    known.add(name);
                    const alsoRunning = others.map(n => `${n}-${i}` as SuspectKey);
                    state.history = stepCrashHistory(state.history, death(name, ...alsoRunning, crashing), i);
                    return state.history.quarantined.has(crashing) === (known.size === deaths.length);
                });
            },
        ),
        { seed: SEED, numRuns: 200 },
    );
    const many = Array.from({ length: 3 * crashLimits.suspects }, (_, i) => `r${i}` as SuspectKey);
    t.true(after([[0, death("a/1", ...many)]]).accusations.size <= crashLimits.suspects);
});
