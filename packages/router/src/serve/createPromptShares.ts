import type { EndpointName, FailureDomain, Tokens } from "@azureshunt/core";

import type { ChainPart } from "../placement/ChainPart.js";
import type { PromptShare } from "../placement/PromptShare.js";
import { reachableStore } from "./reachableStore.js";
import type { ServeParts } from "./ServeParts.js";

/** A holder of parts that can be reached, and how much of one prompt it has. */
type Source = {
    readonly name: string;
    readonly address: string;
    readonly failureDomain: FailureDomain;
    readonly tokens: Tokens;
};

/** How the engines come by the parts of one prompt, under one salt. */
type PromptShares = {
    /** How one engine would come by them. */
    readonly at: (endpoint: EndpointName, domain: FailureDomain) => PromptShare;
    /** Tokens at the prompt's beginning that the cache store has. */
    readonly stored: Tokens;
};

/** Fewer tokens are read sooner than fetched. */
const WORTH_FETCHING: Tokens = 256;

const more = (best: Source | undefined, each: Source): Source =>
    best === undefined || each.tokens > best.tokens ? each : best;

/**
 * Works out how each engine would come by the parts of a prompt: what it holds itself, what it could fetch and from
 * where, and what it would have to read.
 *
 * Load: long shared prompts on many engines, in numbers that fill the store's link. Moving cached tokens takes a fraction
 * of reading them, so whoever holds most is the source, an engine before the store as its link is the wider one, and one
 * in the same failure domain before others.
 *
 * Load: all VMs have restarted and know of nobody who holds anything, while the store still has nearly all of it; or an
 * engine's memory is full, and a part that it held when last heard of has made room since. So where nobody is known to have
 * more, the store is named for every prompt with shared parts: the engine fetches what it lacks, and a miss costs a
 * millisecond.
 */
export function createPromptShares(
    parts: Pick<ServeParts, "knowledge" | "isQuiet" | "chains" | "clock" | "book">,
    promptTokens: Tokens,
    chain: readonly ChainPart[],
): PromptShares {
    const store = reachableStore(parts);
    const held = parts.chains.holders(chain, parts.clock.now());
    const ownTokens = new Map(held.map(({ holder, tokens }) => [holder as string, tokens]));
    const engines = held.flatMap(({ holder, tokens }): readonly Source[] => {
        const entry = parts.book.entryOf(holder as EndpointName);
        return entry === undefined || parts.isQuiet(entry.failureDomain)
            ? []
            : [{ name: entry.name, address: entry.address, failureDomain: entry.failureDomain, tokens }];
    });
    const stored = store === undefined ? 0 : ownTokens.get(store.address) ?? 0;
    const sources = [...engines, ...(store === undefined ? [] : [{ ...store, name: store.address, tokens: stored }])];
    const most = sources.reduce((tokens, each) => Math.max(tokens, each.tokens), 0);
    const best = sources.filter(({ tokens }) => most - tokens < WORTH_FETCHING);
    // Looked up for each of dozens of engines, so that it is worked out once a request.
    const bestOfAll = best.reduce<Source | undefined>(more, undefined);
    const bestOfDomain = new Map(best.toReversed().map(source => [source.failureDomain, source]));

    // The last part is the request's own.
    const sharedTokens = chain.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);

    const at: PromptShares["at"] = (endpoint, domain) => {
        const own = ownTokens.get(endpoint) ?? 0;
        // One of the best itself has nothing worth fetching from another.
        const source = bestOfDomain.get(domain) ?? bestOfAll;
        const fetched = source === undefined || source.tokens - own < WORTH_FETCHING ? 0 : source.tokens - own;
        return {
            missingTokens: promptTokens - own - fetched,
            fetchedTokens: fetched,
            source: fetched > 0 ? source?.address : sharedTokens > 0 ? store?.address : undefined,
        };
    };
    return { at, stored };
}
