import type { ModelName } from "@azureshunt/core";
import test from "ava";

import type { DeclarationEvent } from "../../knowledge/DeclarationEvent.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { outdatedSince } from "../../knowledge/outdatedSince.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { routingOf } from "../support/routingOf.js";
import { watchClocks } from "../support/watchClocks.js";

const MODEL = "m" as ModelName;
const configuration = (revision: number): DeclarationEvent => ({
    kind: "configuration",
    configuration: routingOf(revision, []),
});
const confirmed = (revision: number, asOf: number, stampedAt: number = asOf): DeclarationEvent => ({
    kind: "confirmed",
    revision,
    asOf,
    stampedAt,
    by: "store",
});

type Case = {
    readonly name: string;
    readonly events: readonly DeclarationEvent[];
    readonly revision: number | undefined;
    readonly newestRevision: number;
    readonly confirmedAt: number;
};

// An older revision is applied again or confirmed, and a withdrawn key works again.
const cases: readonly Case[] = [
    {
        name: "an older configuration changes nothing",
        events: [configuration(5), configuration(4)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: -Infinity,
    },
    {
        name: "an outdated VM confirms nothing",
        events: [configuration(5), confirmed(5, 100), confirmed(4, 900)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: 100,
    },
    {
        name: "a newer revision known only by number confirms nothing",
        events: [configuration(5), confirmed(5, 100), confirmed(6, 900)],
        revision: 5,
        newestRevision: 6,
        confirmedAt: 100,
    },
    {
        name: "an older confirmation that arrives later changes nothing",
        events: [configuration(5), confirmed(5, 700), confirmed(5, 200)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: 700,
    },
    {
        name: "a suspension voids the confirmation and keeps the configuration",
        events: [configuration(5), confirmed(5, 700), { kind: "suspended" }],
        revision: 5,
        newestRevision: 5,
        confirmedAt: -Infinity,
    },
    {
        // The VM was suspended, with its clock standing still, while the answer was in its buffer: it is older than it
        // looks.
        name: "an answer to a query sent before a suspension confirms nothing",
        events: [configuration(5), { kind: "suspended" }, confirmed(5, 1_000)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: -Infinity,
    },
    {
        // The peer held the timestamp while this VM was suspended, so its confirmation seems to be of a future time.
        name: "a peer that echoes a timestamp from before a suspension confirms nothing",
        events: [configuration(5), { kind: "suspended" }, confirmed(5, 1_400, 990)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: -Infinity,
    },
    {
        name: "a peer that echoes a timestamp from after a suspension confirms",
        events: [configuration(5), { kind: "suspended" }, confirmed(5, 990, 1_001)],
        revision: 5,
        newestRevision: 5,
        confirmedAt: 990,
    },
];

cases.forEach(({ name, events, revision, newestRevision, confirmedAt }) => {
    test(`declared state: ${name}`, t => {
        const known = events.reduce((state, event) => stepDeclaredState(state, event, 1_000), initialDeclaredState);
        t.is(known.configuration?.revision, revision);
        t.is(known.newestRevision, newestRevision);
        t.is(known.confirmedAt, confirmedAt);
    });
});

test("declared state: weights are outdated since the next version after them was set, not since the newest one", t => {
    const targets = [[2, 100], [3, 500], [4, 900]] as const;
    const known = targets.reduce(
        (state, [version, at]) => stepDeclaredState(state, { kind: "weights", model: MODEL, version }, at),
        initialDeclaredState,
    );
    t.is(outdatedSince(known, MODEL, 1), 100);
    t.is(outdatedSince(known, MODEL, 2), 500);
    t.is(outdatedSince(known, MODEL, 3), 900);
    t.is(outdatedSince(known, MODEL, 4), undefined);
});

// The state of a VM counts as fresh after a suspension, as its monotonic clock stood still.
const jumps = [
    { name: "four seconds of suspension", epochMs: 4_010, nowMs: 10, suspensions: 1 },
    { name: "a time of day stepped back", epochMs: -2_400, nowMs: 10, suspensions: 1 },
    { name: "late timers", epochMs: 510, nowMs: 500, suspensions: 0 },
] as const;

jumps.forEach(({ name, epochMs, nowMs, suspensions }) => {
    test(`suspension watch: ${name}`, t => {
        const time = { now: 0, epoch: 1_000_000 };
        const seen = { suspensions: 0 };
        const check = watchClocks({ now: () => time.now, epoch: () => time.epoch }, () => {
            seen.suspensions += 1;
        });
        time.now += nowMs;
        time.epoch += epochMs;
        check();
        check();
        t.is(seen.suspensions, suspensions);
    });
});
