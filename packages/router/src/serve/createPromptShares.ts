import type { EndpointName, Tokens } from "@azureshunt/core";

import type { ChainPart } from "../placement/ChainPart.js";
import type { PromptShare } from "../placement/PromptShare.js";
import type { ServeParts } from "./ServeParts.js";

/** A holder of parts, and how much of one prompt it has. */
type Source = { readonly address: string | undefined; readonly tokens: Tokens; };

/** Fewer tokens are read sooner than fetched. */
const WORTH_FETCHING: Tokens = 256;
const NO_SOURCE: Source = { address: undefined, tokens: 0 };

/** The address of the cache store, where there is one and it can be reached. */
const reachableStore = (parts: ServeParts): string | undefined => {
    const services = [...parts.knowledge().configuration?.services.values() ?? []];
    const store = services.map(service => service.cacheStore).find(each => each !== undefined);
    return store === undefined || parts.isQuiet(store.failureDomain) ? undefined : store.address;
};

/**
 * Works out, for one request, how each engine would come by the parts of its prompt.
 *
 * Load: long shared prompts on many engines. Moving cached tokens takes a fraction of reading them; the store is the
 * first source, since it keeps what engines drop, and while it cannot be reached any engine in reach that has more.
 */
export function createPromptShares(
    parts: ServeParts,
    promptTokens: Tokens,
): {
    readonly store: string | undefined;
    readonly at: (endpoint: EndpointName, chain: readonly ChainPart[]) => PromptShare;
} {
    const { chains, book } = parts;
    const now = parts.clock.now();
    const store = reachableStore(parts);

    const engineSource = (endpoint: EndpointName, chain: readonly ChainPart[]): Source =>
        chains.holders(chain, now)
            .flatMap(holder => {
                const entry = holder === endpoint ? undefined : book.entryOf(holder as EndpointName);
                return entry === undefined || parts.isQuiet(entry.failureDomain)
                    ? []
                    : [{ address: entry.address, tokens: chains.heldTokens(holder, chain, now) }];
            })
            .reduce<Source>((best, each) => each.tokens > best.tokens ? each : best, NO_SOURCE);

    const at = (endpoint: EndpointName, chain: readonly ChainPart[]): PromptShare => {
        const own = chains.heldTokens(endpoint, chain, now);
        const source = store === undefined
            ? engineSource(endpoint, chain)
            : { address: store, tokens: chains.heldTokens(store, chain, now) };
        const fetched = source.tokens - own < WORTH_FETCHING ? 0 : source.tokens - own;
        return {
            missingTokens: promptTokens - own - fetched,
            fetchedTokens: fetched,
            // The store may hold parts that other VMs had saved there.
            source: fetched > 0 || store !== undefined ? source.address : undefined,
        };
    };
    return { store, at };
}
