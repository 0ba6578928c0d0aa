import { EndpointName, PieceHash } from "@azureshunt/core";
import test from "ava";

import type { Candidate } from "../../policies/Candidate.js";
import { policyOf } from "../../policies/policyOf.js";

const NAMES = ["a", "b", "c", "d"];
const piece = (n: number) => PieceHash.parse(n.toString(16).padStart(32, "0"));
const candidate = (name: string, total: number, matchedPieces = 0, requests = 0): Candidate => ({
    endpoint: EndpointName.parse(name),
    load: { requests, prefillTokens: 0 },
    matchedPieces,
    fetch: undefined,
    estimate: { wait: 0, fetch: 0, prefill: total, network: 0, coldStart: 0, total },
});
const request = (pieces: number[], turn = 0, random = 0.5) => ({ pieces: pieces.map(piece), turn, random });

(["azureshunt", "prefix-affinity", "least-loaded", "round-robin"] as const).forEach(name =>
    test(`policy ${name}: chooses nothing without candidates and the only candidate otherwise`, t => {
        t.is(policyOf(name)(request([1]), []), undefined);
        const only = candidate("a", 5);
        t.is(policyOf(name)(request([1]), [only]), only);
    })
);

[
    { name: "chooses the lowest estimate", candidates: [candidate("a", 100), candidate("b", 50)], chosen: "b" },
    {
        name: "prefers a much lower load to a cached prefix",
        candidates: [candidate("a", 340, 3), candidate("b", 250, 0)],
        chosen: "b",
    },
    {
        name: "prefers a cached prefix to a slightly lower load",
        candidates: [candidate("a", 330, 3), candidate("b", 250)],
        chosen: "a",
    },
    {
        name: "chooses the longer prefix among equal estimates",
        candidates: [candidate("a", 100, 1), candidate("b", 101, 2)],
        chosen: "b",
    },
    {
        name: "for a new prefix, chooses fewer requests among nearly equal estimates",
        candidates: [candidate("a", 100, 1, 6), candidate("b", 130, 0, 0)],
        chosen: "b",
    },
    {
        name: "for a new prefix, does not choose a much slower endpoint",
        candidates: [candidate("a", 100, 1, 6), candidate("b", 140, 0, 0)],
        chosen: "a",
    },
    {
        name: "for a cached prompt, chooses the holder although it has more requests",
        candidates: [candidate("a", 20, 3, 6), candidate("b", 21, 2, 0)],
        chosen: "a",
    },
].forEach(({ name, candidates, chosen }) =>
    test(`azureshunt: ${name}`, t => {
        t.is(policyOf("azureshunt")(request([1, 2, 3]), candidates)?.endpoint as string, chosen);
    })
);

test("azureshunt: daemons agree on an endpoint for a new prefix, and prefixes are spread", t => {
    const idle = NAMES.map(name => candidate(name, 100));
    const chosen = Array.from({ length: 200 }, (_, n) => {
        const choices = [0.1, 0.6, 0.9].map(random => policyOf("azureshunt")(request([n], n, random), idle)?.endpoint);
        t.is(new Set(choices).size, 1);
        return choices[0];
    });
    NAMES.forEach(name => t.true(chosen.filter(each => each === name).length > 25, name));
});

test("azureshunt: a prompt cached completely on several endpoints is spread over them", t => {
    const holders = NAMES.map(name => candidate(name, 10, 2));
    const chosen = Array.from({ length: 100 }, (_, n) => policyOf("azureshunt")(request([1, 2], n, n / 100), holders));
    NAMES.forEach(name => t.true(chosen.filter(each => each?.endpoint === name).length > 10, name));
});

test("prefix-affinity: stays with one endpoint until its load reaches the bound", t => {
    const affinity = policyOf("prefix-affinity");
    const idle = NAMES.map(name => candidate(name, 0));
    const first = affinity(request([7]), idle)!;
    const busy = idle.map(each => each.endpoint === first.endpoint ? candidate(each.endpoint, 0, 0, 9) : each);
    t.is(affinity(request([7], 5), idle)?.endpoint, first.endpoint);
    t.not(affinity(request([7]), busy)?.endpoint, first.endpoint);
});
