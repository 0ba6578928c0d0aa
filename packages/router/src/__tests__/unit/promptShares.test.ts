import type { EndpointName, FailureDomain, ServiceName } from "@azureshunt/core";
import test from "ava";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import { createPromptShares } from "../../serve/createPromptShares.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { routingOf } from "../support/routingOf.js";

const STORE = "10.9.9.9:80";
const DOMAIN = "a" as FailureDomain;
const chain = [{ key: "hello", tokens: 500 }, { key: "hello/manual", tokens: 4_000 }, { key: "own", tokens: 100 }];
const addressOf = (name: string): string => `10.0.0.${name.slice(1)}:80`;

/** Number of the prompt's parts that each holder is known to have. */
type Held = Readonly<Record<string, number>>;

const shareAt = (endpoint: string, held: Held, isSilent: boolean) => {
    const prefixIndex = createPrefixIndex(() => ({ expiryMs: 10_000, size: 100_000 }));
    Object.entries(held).forEach(([holder, count]) => prefixIndex.record(holder, chain.slice(0, count), 0));
    const routing = routingOf(1, []);
    const store = { name: "keep" as ServiceName, maxConnections: 9, engine: undefined };
    const services = new Map([[store.name, {
        ...store,
        cacheStore: { address: STORE, failureDomain: DOMAIN, cacheTokens: 2_000_000 },
    }]]);
    const parts = {
        prefixIndex,
        clock: { now: () => 0, epoch: () => 0 },
        isDomainSilent: () => isSilent,
        declaredState: () => ({ ...initialDeclaredState, configuration: { ...routing, services } }),
        endpointTable: {
            entryOf: (name: EndpointName) =>
                name.startsWith("e") ? { name, address: addressOf(name), failureDomain: DOMAIN } : undefined,
        },
    } as unknown as ServeParts;
    return createPromptShares(parts, 4_600, chain).shareOf(endpoint as EndpointName, DOMAIN);
};

type Case = {
    readonly name: string;
    readonly held: Held;
    readonly isSilent?: boolean;
    readonly missing: number;
    readonly source: string | undefined;
};

// Guards against engines prefilling parts again, after a restart of all VMs, that the cache store still has.
const cases: readonly Case[] = [
    { name: "no holder is known: the store is the source", held: {}, missing: 4_600, source: STORE },
    {
        name: "the engine holds the first part: the store is the source of the others",
        held: { e1: 1 },
        missing: 4_100,
        source: STORE,
    },
    {
        name: "the engine held all shared parts when last known: the store is the source, as they may be evicted",
        held: { e1: 2 },
        missing: 100,
        source: STORE,
    },
    {
        name: "another engine holds more: that engine is the source",
        held: { e1: 1, e2: 2 },
        missing: 100,
        source: addressOf("e2"),
    },
    {
        name: "an engine and the store hold as much: the engine is the source",
        held: { e2: 2, [STORE]: 2 },
        missing: 100,
        source: addressOf("e2"),
    },
    {
        name: "only the store holds the parts: the store is the source",
        held: { [STORE]: 2 },
        missing: 100,
        source: STORE,
    },
    {
        name: "the store's failure domain is silent: there is no source",
        held: { e1: 1 },
        isSilent: true,
        missing: 4_100,
        source: undefined,
    },
];

cases.forEach(({ name, held, isSilent = false, missing, source }) => {
    test(`prompt shares: ${name}`, t => {
        const share = shareAt("e1", held, isSilent);
        t.is(share.missingTokens, missing);
        t.is(share.source, source);
    });
});
