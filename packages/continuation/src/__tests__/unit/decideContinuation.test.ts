import test from "ava";

import type { Continuation } from "../../Continuation.js";
import { decideContinuation } from "../../decideContinuation.js";
import type { KnownOrigin } from "../../KnownOrigin.js";
import { originOf } from "../support/originOf.js";
import { runOf } from "../support/runOf.js";

type Query = Parameters<typeof decideContinuation>[0];
type Case = {
    readonly name: string;
    readonly known?: KnownOrigin["origin"];
    readonly query?: Partial<Query>;
    readonly runs: readonly ReturnType<typeof runOf>[];
    readonly decision: Continuation["kind"];
};

const { service } = runOf("any", "v1");
const old = runOf("e1", "v1");
const other = runOf("e2", "v1");
const newer = runOf("e3", "v2");

const cases: readonly Case[] = [
    { name: "its version serves", known: originOf("e1", "v1"), runs: [other, newer], decision: "continue" },
    { name: "only another version serves", known: originOf("e1", "v1"), runs: [newer], decision: "version-gone" },
    { name: "nothing serves", known: originOf("e1", "v1"), runs: [], decision: "version-gone" },
    {
        name: "its route no longer leads to its service",
        known: originOf("e1", "v1"),
        query: { isTarget: () => false },
        runs: [old],
        decision: "version-gone",
    },
    {
        name: "its endpoint states no version and is the same run",
        known: originOf("e1", undefined),
        runs: [runOf("e1", undefined), runOf("e2", undefined)],
        decision: "continue",
    },
    {
        name: "its endpoint states no version and started again",
        known: originOf("e1", undefined),
        runs: [runOf("e1", undefined, 5_000), runOf("e2", undefined)],
        decision: "version-gone",
    },
    {
        name: "its endpoint started again with another version around its first event",
        known: originOf("e1", "v1", 5_200),
        runs: [runOf("e1", "v2", 5_000), other],
        decision: "origin-unknown",
    },
    {
        name: "its endpoint started again with another version long after its first event",
        known: originOf("e1", "v1", 1_000),
        runs: [runOf("e1", "v2", 5_000), other],
        decision: "continue",
    },
    {
        name: "its endpoint started again with its version",
        known: originOf("e1", "v1", 5_200),
        runs: [runOf("e1", "v1", 5_000)],
        decision: "continue",
    },
    { name: "its id names streams of two versions", known: "ambiguous", runs: [old], decision: "origin-unknown" },
    { name: "nothing is known and several versions served", runs: [old], decision: "origin-unknown" },
    {
        name: "nothing is known and one version served",
        query: { soleVersion: "v1" },
        runs: [old],
        decision: "continue",
    },
    {
        name: "nothing is known and the registry may be outdated",
        query: { soleVersion: "v1", isCurrent: false },
        runs: [old],
        decision: "origin-unknown",
    },
    {
        name: "another version is known than the only one that served here",
        known: originOf("e3", "v2"),
        query: { soleVersion: "v1" },
        runs: [old],
        decision: "version-gone",
    },
];

cases.forEach(({ name, known, query, runs, decision }) => {
    test(`decide continuation: a stream is decided ${decision} if ${name}`, t => {
        const continuation = decideContinuation({
            known,
            service,
            soleVersion: undefined,
            isCurrent: true,
            entryOf: endpoint => runs.find(run => run.name === endpoint),
            servingRuns: () => runs,
            isTarget: () => true,
            ...query,
        });
        t.is(continuation.kind, decision);
    });
});
