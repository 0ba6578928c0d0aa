import type { EndpointName, FailureDomain, Tokens } from "@azureshunt/core";

import type { PrefixPart } from "../placement/PrefixPart.js";
import type { PromptShare } from "../placement/PromptShare.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { areStoresCrowded } from "./areStoresCrowded.js";
import { reachableStore } from "./reachableStore.js";
import type { ServeParts } from "./ServeParts.js";

/** A holder of cached parts that can be reached, and how much of one prompt it holds. */
type Source = {
    readonly name: string;
    readonly address: string;
    readonly failureDomain: FailureDomain;
    readonly tokens: Tokens;
};

/** How engines would obtain the parts of one prompt, under one salt. */
type PromptShares = {
    /** How one engine would obtain them. */
    readonly shareOf: (endpoint: EndpointName, domain: FailureDomain) => PromptShare;
    /** `host:port` of the cache store that keeps the prompt's shared parts; undefined if there is none. */
    readonly store: string | undefined;
    /** Length of the prompt prefix that the cache store holds. */
    readonly storedTokens: Tokens;
};

/** Fewer tokens are prefilled faster than they are fetched. */
const MIN_FETCH_TOKENS: Tokens = 256;

/**
 * Computes how each engine would obtain the parts of a prompt: what it holds itself, what it could fetch and from
 * where, and what it would have to prefill.
 *
 * Long prompts that many engines share can fill the store's link. Moving cached tokens takes a fraction of the time of
 * prefilling them, so the holder of the most tokens is the source; an engine is preferred to the store, as its link is
 * wider, and a source in the same failure domain to others. An engine whose memory is full may have evicted a part since
 * it was last known to hold it, so every request with shared parts names a source, and a miss costs a millisecond.
 *
 * If no engine is known to have any, the store is the source: after a restart of all VMs it still has nearly all parts.
 *
 * @param peers engines with the prompt's weights that could take it
 */
export function createPromptShares(
    parts: Pick<
        ServeParts,
        "declaredState" | "isDomainSilent" | "prefixIndex" | "clock" | "fleetDemand"
    >,
    promptTokens: Tokens,
    chain: readonly PrefixPart[],
    peers: readonly EndpointEntry[],
): PromptShares {
    // The last part belongs to this request alone.
    const shared = chain.slice(0, -1);
    const store = reachableStore(parts, shared.at(-1)?.key ?? "");
    const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
    const peerNamed = new Map(peers.map(entry => [entry.name as string, entry]));
    // An engine that has loaded other weights since has dropped all that it held.
    const holders = parts.prefixIndex.holders(chain, parts.clock.now()).filter(({ holder }) =>
        peerNamed.has(holder) || holder === store?.address
    );
    const heldTokens = new Map(holders.map(({ holder, tokens }) => [holder as string, tokens]));
    const knownSources = holders.flatMap(({ holder, tokens }): readonly Source[] => {
        const entry = peerNamed.get(holder);
        return entry === undefined || parts.isDomainSilent(entry.failureDomain)
            ? []
            : [{ name: entry.name, address: entry.address, failureDomain: entry.failureDomain, tokens }];
    });
    const storedTokens = store === undefined ? 0 : heldTokens.get(store.address) ?? 0;
    const storeSources = store === undefined ? [] : [{ ...store, name: store.address, tokens: storedTokens }];

    // Ranked once per request, as they are looked up for each of dozens of engines. Engines come before the store.
    const ranked = [...knownSources, ...storeSources].toSorted((a, b) => b.tokens - a.tokens);
    const maxKnown = ranked[0]?.tokens ?? 0;
    const best = ranked.filter(({ tokens }) => maxKnown - tokens < MIN_FETCH_TOKENS);
    const sourceFor = (endpoint: EndpointName, domain: FailureDomain): Source | undefined =>
        best.find(({ name, failureDomain }) =>
            failureDomain === domain && name !== endpoint && name !== store?.address
        ) ?? ranked.find(({ name }) => name !== endpoint);

    const isCrowded = areStoresCrowded(parts);
    /**
     * Where an engine that seems to hold all that is known would find what it has evicted: a store that is not crowded
     * keeps parts for longer than engines. An engine that holds less could not replace them.
     */
    const spareFor = (engineTokens: Tokens, source: Source | undefined): Pick<Source, "address"> | undefined => {
        const isEnough = source !== undefined && source.tokens > 0 && source.tokens >= engineTokens;
        return isEnough && isCrowded ? source : store ?? source;
    };
    const shareOf: PromptShares["shareOf"] = (endpoint, domain) => {
        const engineTokens = heldTokens.get(endpoint) ?? 0;
        const source = sourceFor(endpoint, domain);
        const fetched = source === undefined || source.tokens - engineTokens < MIN_FETCH_TOKENS
            ? 0
            : source.tokens - engineTokens;
        return {
            // A caller may state fewer tokens than its parts have.
            missingTokens: Math.max(0, promptTokens - engineTokens - fetched),
            fetchedTokens: fetched,
            source: sharedTokens === 0 ? undefined : (fetched > 0 ? source : spareFor(engineTokens, source))?.address,
        };
    };
    return { shareOf, store: store?.address, storedTokens };
}
