import type { ModelName } from "@azureshunt/core";
import test from "ava";

import { createPauseWatch } from "../../knowledge/createPauseWatch.js";
import type { KnowledgeEvent } from "../../knowledge/KnowledgeEvent.js";
import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { outdatedSince } from "../../knowledge/outdatedSince.js";
import { stepKnowledge } from "../../knowledge/stepKnowledge.js";
import { routingOf } from "../support/routingOf.js";

const MODEL = "m" as ModelName;
const configuration = (revision: number): KnowledgeEvent => ({
    kind: "configuration",
    configuration: routingOf(revision, []),
});
const confirmed = (revision: number, asOf: number, stampedAt: number = asOf): KnowledgeEvent => ({
    kind: "confirmed",
    revision,
    asOf,
    stampedAt,
});

type Case = {
    readonly name: string;
    readonly events: readonly KnowledgeEvent[];
    readonly revision: number | undefined;
    readonly heard: number;
    readonly confirmedAt: number;
};

// An older revision is put back in force or confirmed, and a withdrawn key works again.
const cases: readonly Case[] = [
    {
        name: "an older configuration changes nothing",
        events: [configuration(5), configuration(4)],
        revision: 5,
        heard: 5,
        confirmedAt: -Infinity,
    },
    {
        name: "a lagging VM confirms nothing",
        events: [configuration(5), confirmed(5, 100), confirmed(4, 900)],
        revision: 5,
        heard: 5,
        confirmedAt: 100,
    },
    {
        name: "a newer revision that was only heard of confirms nothing",
        events: [configuration(5), confirmed(5, 100), confirmed(6, 900)],
        revision: 5,
        heard: 6,
        confirmedAt: 100,
    },
    {
        name: "a confirmation that was overtaken does not make knowledge older",
        events: [configuration(5), confirmed(5, 700), confirmed(5, 200)],
        revision: 5,
        heard: 5,
        confirmedAt: 700,
    },
    {
        name: "a pause voids what was confirmed and keeps the configuration",
        events: [configuration(5), confirmed(5, 700), { kind: "paused" }],
        revision: 5,
        heard: 5,
        confirmedAt: -Infinity,
    },
    {
        // The VM was suspended, and its clock stood still, while the answer lay in its buffer: it is older than it looks.
        name: "what was asked before a pause confirms nothing, though its answer comes after it",
        events: [configuration(5), { kind: "paused" }, confirmed(5, 1_000)],
        revision: 5,
        heard: 5,
        confirmedAt: -Infinity,
    },
    {
        // The peer held the stamp while this VM was suspended, so that it seems to have told of a time still to come.
        name: "a peer that echoes a stamp from before a pause confirms nothing",
        events: [configuration(5), { kind: "paused" }, confirmed(5, 1_400, 990)],
        revision: 5,
        heard: 5,
        confirmedAt: -Infinity,
    },
    {
        name: "a peer that echoes a stamp from after a pause does",
        events: [configuration(5), { kind: "paused" }, confirmed(5, 990, 1_001)],
        revision: 5,
        heard: 5,
        confirmedAt: 990,
    },
];

cases.forEach(({ name, events, revision, heard, confirmedAt }) => {
    test(`knowledge: ${name}`, t => {
        const known = events.reduce((state, event) => stepKnowledge(state, event, 1_000), noKnowledge);
        t.is(known.configuration?.revision, revision);
        t.is(known.heardRevision, heard);
        t.is(known.confirmedAt, confirmedAt);
    });
});

test("knowledge: weights are outdated since the next version after them was named, not since the last one", t => {
    const named = [[2, 100], [3, 500], [4, 900]] as const;
    const known = named.reduce(
        (state, [version, at]) => stepKnowledge(state, { kind: "weights", model: MODEL, version }, at),
        noKnowledge,
    );
    t.is(outdatedSince(known, MODEL, 1), 100);
    t.is(outdatedSince(known, MODEL, 2), 500);
    t.is(outdatedSince(known, MODEL, 3), 900);
    t.is(outdatedSince(known, MODEL, 4), undefined);
});

// What a VM knows passes for fresh after a suspension, as its monotonic clock stood still.
const jumps = [
    { name: "four seconds of suspension", epochMs: 4_010, nowMs: 10, pauses: 1 },
    { name: "a time of day stepped back", epochMs: -2_400, nowMs: 10, pauses: 1 },
    { name: "late timers", epochMs: 510, nowMs: 500, pauses: 0 },
] as const;

jumps.forEach(({ name, epochMs, nowMs, pauses }) => {
    test(`pause watch: ${name}`, t => {
        const time = { now: 0, epoch: 1_000_000 };
        const seen = { pauses: 0 };
        const watch = createPauseWatch({ now: () => time.now, epoch: () => time.epoch }, () => {
            seen.pauses += 1;
        });
        time.now += nowMs;
        time.epoch += epochMs;
        watch.check();
        watch.check();
        t.is(seen.pauses, pauses);
    });
});
