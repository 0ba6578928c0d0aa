import test from "ava";

import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { admitRequest } from "../../serve/admitRequest.js";
import { routingOf } from "../support/routingOf.js";

const BOUNDS = { maxAgeForKeysMs: 4_400, maxAgeForDenialMs: 2_000 };
const declaredState: DeclaredState = {
    ...initialDeclaredState,
    configuration: routingOf(3, [{ pathPrefix: "/x/" }, { pathPrefix: "/open/", isPublic: true }]),
    newestRevision: 3,
    confirmedAt: 10_000,
};

type Case = {
    readonly name: string;
    readonly declaredState?: Partial<DeclaredState>;
    readonly target?: string;
    readonly key?: string | undefined;
    readonly arrivedAt?: number;
    readonly outcome: string;
};

// Guards against a VM that is cut off and still serves a withdrawn key, or tells callers for good that a route that was
// added does not exist.
const cases: readonly Case[] = [
    { name: "a valid key is admitted for its organisation", outcome: "org" },
    { name: "a public route needs no key", target: "/open/", key: undefined, outcome: "nobody" },
    { name: "a request without a key is refused", key: undefined, outcome: "missing-key" },
    { name: "a key without an owner is refused", key: "stranger", outcome: "unknown-key" },
    { name: "a path without a route is refused", target: "/y/", outcome: "not-found" },
    { name: "declared state just fresh enough for keys is used", arrivedAt: 14_400, outcome: "org" },
    { name: "declared state too old for keys is not used", arrivedAt: 14_401, outcome: "configuration-too-old" },
    { name: "a public route is served on old declared state", target: "/open/", arrivedAt: 90_000, outcome: "nobody" },
    {
        name: "declared state too old to deny a route does not deny it",
        target: "/y/",
        arrivedAt: 12_001,
        outcome: "configuration-too-old",
    },
    {
        name: "declared state too old to deny a key does not deny it",
        key: "stranger",
        arrivedAt: 12_001,
        outcome: "configuration-too-old",
    },
    {
        name: "a route is not denied if a newer revision is known to exist",
        target: "/y/",
        declaredState: { newestRevision: 4 },
        outcome: "configuration-too-old",
    },
    {
        name: "a key is not accepted after a suspension",
        declaredState: { confirmedAt: -Infinity },
        outcome: "configuration-too-old",
    },
    {
        name: "a request before the first configuration is refused",
        declaredState: { configuration: undefined },
        outcome: "no-configuration",
    },
];

cases.forEach(each => {
    test(`admitRequest: ${each.name}`, t => {
        const outcome = admitRequest({
            declaredState: { ...declaredState, ...each.declaredState },
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
