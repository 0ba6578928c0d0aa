import type { EndpointName, FailureDomain, ServiceName } from "@azureshunt/core";
import test from "ava";

import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { createChainMemory } from "../../placement/createChainMemory.js";
import { createPromptShares } from "../../serve/createPromptShares.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { routingOf } from "../support/routingOf.js";

const STORE = "10.9.9.9:80";
const DOMAIN = "a" as FailureDomain;
const chain = [{ key: "hello", tokens: 500 }, { key: "hello/manual", tokens: 4_000 }, { key: "own", tokens: 100 }];
const addressOf = (name: string): string => `10.0.0.${name.slice(1)}:80`;

/** What is known of holders, by how many parts of the prompt each has. */
type Held = Readonly<Record<string, number>>;

const sharesAt = (endpoint: string, held: Held, isQuiet: boolean) => {
    const chains = createChainMemory(() => ({ keptMs: 10_000, size: 100_000 }));
    Object.entries(held).forEach(([holder, count]) => chains.note(holder, chain.slice(0, count), 0));
    const routing = routingOf(1, []);
    const keep = { name: "keep" as ServiceName, maxConnections: 9, engine: undefined };
    const services = new Map([[keep.name, {
        ...keep,
        cacheStore: { address: STORE, failureDomain: DOMAIN, cacheTokens: 2_000_000 },
    }]]);
    const parts = {
        chains,
        clock: { now: () => 0, epoch: () => 0 },
        isQuiet: () => isQuiet,
        knowledge: () => ({ ...noKnowledge, configuration: { ...routing, services } }),
        book: {
            entryOf: (name: EndpointName) =>
                name.startsWith("e") ? { name, address: addressOf(name), failureDomain: DOMAIN } : undefined,
        },
    } as unknown as ServeParts;
    return createPromptShares(parts, 4_600, chain).at(endpoint as EndpointName, DOMAIN);
};

type Case = {
    readonly name: string;
    readonly held: Held;
    readonly isQuiet?: boolean;
    readonly missing: number;
    readonly source: string | undefined;
};

// After a restart of all VMs engines read parts again that the cache store still has.
const cases: readonly Case[] = [
    { name: "nothing is known: the store is asked", held: {}, missing: 4_600, source: STORE },
    {
        name: "it holds the first part: the store is asked for the others",
        held: { e1: 1 },
        missing: 4_100,
        source: STORE,
    },
    {
        name: "it held all shared parts when last heard of: the store is named, as they may have made room since",
        held: { e1: 2 },
        missing: 100,
        source: STORE,
    },
    { name: "another engine holds more: that one", held: { e1: 1, e2: 2 }, missing: 100, source: addressOf("e2") },
    { name: "an engine goes before the store", held: { e2: 2, [STORE]: 2 }, missing: 100, source: addressOf("e2") },
    { name: "only the store has it", held: { [STORE]: 2 }, missing: 100, source: STORE },
    { name: "the store is out of reach", held: { e1: 1 }, isQuiet: true, missing: 4_100, source: undefined },
];

cases.forEach(({ name, held, isQuiet = false, missing, source }) => {
    test(`prompt shares: ${name}`, t => {
        const share = sharesAt("e1", held, isQuiet);
        t.is(share.missingTokens, missing);
        t.is(share.source, source);
    });
});
