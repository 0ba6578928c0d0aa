import type { RequestFingerprint } from "@azureshunt/request";
import test from "ava";
import fc from "fast-check";

import type { CrashEvent } from "../../quarantine/CrashEvent.js";
import { crashLimits } from "../../quarantine/crashLimits.js";
import type { CrashNotes } from "../../quarantine/CrashNotes.js";
import { stepCrashNotes } from "../../quarantine/stepCrashNotes.js";

const SEED = 20_261_203;
const nothing: CrashNotes = { deaths: new Map(), stopped: new Map() };
const culprit = "culprit" as RequestFingerprint;
const innocent = "innocent" as RequestFingerprint;
const second = 1_000;

type Timed = readonly [number, CrashEvent];

const death = (name: string, ...running: readonly RequestFingerprint[]): CrashEvent => ({
    kind: "death",
    death: name,
    running,
});

const after = (events: readonly Timed[]): CrashNotes =>
    events.reduce((notes, [now, event]) => stepCrashNotes(notes, event, now), nothing);

type Case = { readonly name: string; readonly events: readonly Timed[]; readonly stopped: readonly string[]; };

const cases: readonly Case[] = [
    {
        name: "two deaths do not stop a request",
        events: [[0, death("a/1", culprit)], [second, death("b/1", culprit)]],
        stopped: [],
    },
    {
        name: "three deaths do, and who was present at two is not stopped",
        events: [
            [0, death("a/1", culprit, innocent)],
            [second, death("b/1", culprit, innocent)],
            [2 * second, death("a/2", culprit)],
        ],
        stopped: [culprit],
    },
    {
        name: "one death that several VMs tell of counts once",
        events: [[0, death("a/1", culprit)], [1, death("a/1", culprit)], [2, death("a/1", culprit)]],
        stopped: [],
    },
    {
        name: "deaths far apart do not add up",
        events: [
            [0, death("a/1", culprit)],
            [crashLimits.rememberedMs, { kind: "tick" }],
            [crashLimits.rememberedMs, death("b/1", culprit)],
            [crashLimits.rememberedMs + 1, death("c/1", culprit)],
        ],
        stopped: [],
    },
    {
        name: "what another VM stops is stopped here for as long",
        events: [[0, { kind: "stopped", request: culprit, forMs: second }], [second - 1, { kind: "tick" }]],
        stopped: [culprit],
    },
    {
        name: "and no longer",
        events: [[0, { kind: "stopped", request: culprit, forMs: second }], [second, { kind: "tick" }]],
        stopped: [],
    },
];

cases.forEach(({ name, events, stopped }) => {
    test(`quarantine: ${name}`, t => {
        t.deepEqual([...after(events).stopped.keys()], stopped as RequestFingerprint[]);
    });
});

// Lost and repeated news keep a VM from stopping a request that it knows three deaths of, or fill its memory.
test("quarantine: whoever knows of three deaths stops the request, whatever else was told in between", t => {
    const deaths = ["a/1", "b/1", "c/1"];
    fc.assert(
        fc.property(
            fc.shuffledSubarray([...deaths, ...deaths], { minLength: 6 }),
            fc.array(fc.nat(4_000), { maxLength: 20 }),
            (order, others) => {
                const known = new Set<string>();
                const state = { notes: nothing };
                return order.every((name, i) => {
                    known.add(name);
                    const beside = others.map(n => `${n}-${i}` as RequestFingerprint);
                    state.notes = stepCrashNotes(state.notes, death(name, ...beside, culprit), i);
                    return state.notes.stopped.has(culprit) === (known.size === deaths.length);
                });
            },
        ),
        { seed: SEED, numRuns: 200 },
    );
    const many = Array.from({ length: 3 * crashLimits.requests }, (_, i) => `r${i}` as RequestFingerprint);
    t.true(after([[0, death("a/1", ...many)]]).deaths.size <= crashLimits.requests);
});
