import type { EndpointName, FailureDomain, Tokens } from "@azureshunt/core";

import type { PrefixPart } from "../placement/PrefixPart.js";
import type { PromptShare } from "../placement/PromptShare.js";
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
    /** Length of the prompt prefix that the cache store holds. */
    readonly storedTokens: Tokens;
};

/** Fewer tokens are prefilled faster than they are fetched. */
const MIN_FETCH_TOKENS: Tokens = 256;

const largerSource = (best: Source | undefined, each: Source): Source =>
    best === undefined || each.tokens > best.tokens ? each : best;

/**
 * Computes how each engine would obtain the parts of a prompt: what it holds itself, what it could fetch and from
 * where, and what it would have to prefill.
 *
 * Long prompts that many engines share can fill the store's link. Moving cached tokens takes a fraction of the time of
 * prefilling them, so the holder of the most tokens is the source; an engine is preferred to the store, as its link is
 * wider, and a source in the same failure domain to others.
 *
 * After a restart of all VMs no holder is known, although the store still has nearly all parts; and an engine whose
 * memory is full may have evicted a part since it was last known to hold it. So if no holder is known to have more, the
 * store is the source for every prompt with shared parts: the engine fetches what it lacks, and a miss costs a
 * millisecond.
 */
export function createPromptShares(
    parts: Pick<ServeParts, "declaredState" | "isDomainSilent" | "prefixIndex" | "clock" | "endpointTable">,
    promptTokens: Tokens,
    chain: readonly PrefixPart[],
): PromptShares {
    const store = reachableStore(parts);
    const holders = parts.prefixIndex.holders(chain, parts.clock.now());
    const heldTokens = new Map(holders.map(({ holder, tokens }) => [holder as string, tokens]));
    const engineSources = holders.flatMap(({ holder, tokens }): readonly Source[] => {
        const entry = parts.endpointTable.entryOf(holder as EndpointName);
        return entry === undefined || parts.isDomainSilent(entry.failureDomain)
            ? []
            : [{ name: entry.name, address: entry.address, failureDomain: entry.failureDomain, tokens }];
    });
    const storedTokens = store === undefined ? 0 : heldTokens.get(store.address) ?? 0;
    const sources = [
        ...engineSources,
        ...(store === undefined ? [] : [{ ...store, name: store.address, tokens: storedTokens }]),
    ];
    const maxTokens = sources.reduce((tokens, each) => Math.max(tokens, each.tokens), 0);
    const bestSources = sources.filter(({ tokens }) => maxTokens - tokens < MIN_FETCH_TOKENS);
    // Computed once per request, as it is looked up for each of dozens of engines.
    const bestSource = bestSources.reduce<Source | undefined>(largerSource, undefined);
    const bestSourceByDomain = new Map(bestSources.toReversed().map(source => [source.failureDomain, source]));

    // The last part belongs to this request alone.
    const sharedTokens = chain.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);

    const shareOf: PromptShares["shareOf"] = (endpoint, domain) => {
        const engineTokens = heldTokens.get(endpoint) ?? 0;
        // An engine that is itself among the best sources gains too little by fetching from another one.
        const source = bestSourceByDomain.get(domain) ?? bestSource;
        const fetched = source === undefined || source.tokens - engineTokens < MIN_FETCH_TOKENS
            ? 0
            : source.tokens - engineTokens;
        return {
            missingTokens: promptTokens - engineTokens - fetched,
            fetchedTokens: fetched,
            source: fetched > 0 ? source?.address : sharedTokens > 0 ? store?.address : undefined,
        };
    };
    return { shareOf, storedTokens };
}
