import test from "ava";

import type { Knowledge } from "../../knowledge/Knowledge.js";
import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { admitRequest } from "../../serve/admitRequest.js";
import { routingOf } from "../support/routingOf.js";

const BOUNDS = { keysMs: 4_400, denialMs: 2_000 };
const knowledge: Knowledge = {
    ...noKnowledge,
    configuration: routingOf(3, [{ pathPrefix: "/x/" }, { pathPrefix: "/open/", isPublic: true }]),
    heardRevision: 3,
    confirmedAt: 10_000,
};

type Case = {
    readonly name: string;
    readonly knowledge?: Partial<Knowledge>;
    readonly target?: string;
    readonly key?: string | undefined;
    readonly arrivedAt?: number;
    readonly outcome: string;
};

// A VM that hears nobody serves a withdrawn key on, or tells callers for good that a new route does not exist.
const cases: readonly Case[] = [
    { name: "a key that is valid", outcome: "org" },
    { name: "no key on a public route", target: "/open/", key: undefined, outcome: "nobody" },
    { name: "no key", key: undefined, outcome: "missing-key" },
    { name: "a key that nobody has", key: "stranger", outcome: "unknown-key" },
    { name: "a path without a route", target: "/y/", outcome: "not-found" },
    { name: "knowledge just young enough", arrivedAt: 14_400, outcome: "org" },
    { name: "knowledge too old for keys", arrivedAt: 14_401, outcome: "configuration-too-old" },
    { name: "too old, on a public route", target: "/open/", arrivedAt: 90_000, outcome: "nobody" },
    { name: "too old to deny a route", target: "/y/", arrivedAt: 12_001, outcome: "configuration-too-old" },
    { name: "too old to deny a key", key: "stranger", arrivedAt: 12_001, outcome: "configuration-too-old" },
    {
        name: "a newer revision is known to exist",
        target: "/y/",
        knowledge: { heardRevision: 4 },
        outcome: "configuration-too-old",
    },
    { name: "after a pause", knowledge: { confirmedAt: -Infinity }, outcome: "configuration-too-old" },
    { name: "no configuration yet", knowledge: { configuration: undefined }, outcome: "no-configuration" },
];

cases.forEach(each => {
    test(`admitRequest: ${each.name}`, t => {
        const outcome = admitRequest({
            knowledge: { ...knowledge, ...each.knowledge },
            request: {
                host: "a.example",
                target: each.target ?? "/x/1",
                key: "key" in each ? each.key : "key",
            },
            arrivedAt: each.arrivedAt ?? 10_100,
            bounds: BOUNDS,
        }).caseOf<string>({
            Left: refusal => refusal.kind,
            Right: ({ organisation }) => organisation?.id ?? "nobody",
        });
        t.is(outcome, each.outcome);
    });
});
