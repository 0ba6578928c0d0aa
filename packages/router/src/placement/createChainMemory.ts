import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "./ChainPart.js";

/** Who may hold parts of prompts: engines by name, and the store of cached parts by its address. */
type ChainHolder = EndpointName | string;

/** A holder, and how many tokens at the beginning of one prompt it has. */
type HeldChain = { readonly holder: ChainHolder; readonly tokens: Tokens; };

/** Remembers which beginnings of prompts engines and the cache store have read or taken lately. */
type ChainMemory = {
    /** All who hold the beginning of a prompt. */
    readonly holders: (chain: readonly ChainPart[], now: Millis) => readonly HeldChain[];
    /** Notes that the holder has read or taken these parts; the other VMs are told. */
    readonly note: (holder: ChainHolder, chain: readonly ChainPart[], now: Millis) => void;
    /** Notes what another VM told. */
    readonly hear: (holder: ChainHolder, keys: readonly string[], now: Millis) => void;
    /** What was noted since the last call, for the other VMs. */
    readonly takeNews: () => readonly (readonly [ChainHolder, readonly string[]])[];
    /** Forgets all that a holder had. */
    readonly forget: (holder: ChainHolder) => void;
};

/** Parts remembered for one holder; the ones noted longest ago go first. */
const PARTS_PER_HOLDER = 4_000;

/**
 * Makes an empty memory of cached beginnings of prompts.
 *
 * @param rememberedMs how long a holder is counted on: engines drop what is not used within seconds, the store keeps it
 */
export function createChainMemory(rememberedMs: (holder: ChainHolder) => Millis): ChainMemory {
    const all = new Map<ChainHolder, Map<string, Millis>>();
    const news = { current: new Map<ChainHolder, Set<string>>() };

    const holders: ChainMemory["holders"] = (chain, now) =>
        [...all].flatMap(([holder, parts]) => {
            const since = now - rememberedMs(holder);
            const missing = chain.findIndex(({ key }) => (parts.get(key) ?? -Infinity) < since);
            const held = missing < 0 ? chain : chain.slice(0, missing);
            return held.length === 0 ? [] : [{ holder, tokens: held.reduce((sum, { tokens }) => sum + tokens, 0) }];
        });
    const hear: ChainMemory["hear"] = (holder, keys, now) => {
        const parts = all.get(holder) ?? new Map<string, Millis>();
        all.set(holder, parts);
        keys.forEach(key => {
            // Set anew, so that the map stays in the order of use.
            parts.delete(key);
            parts.set(key, now);
        });
        if (parts.size > PARTS_PER_HOLDER) {
            [...parts.keys()].slice(0, parts.size - PARTS_PER_HOLDER).forEach(key => parts.delete(key));
        }
    };
    const note: ChainMemory["note"] = (holder, chain, now) => {
        hear(holder, chain.map(({ key }) => key), now);
        // The last part is the request's own; nobody else asks for it.
        const shared = chain.slice(0, -1).map(({ key }) => key);
        news.current.set(holder, new Set([...news.current.get(holder) ?? [], ...shared]));
    };
    const takeNews: ChainMemory["takeNews"] = () => {
        const taken = [...news.current].map(([holder, keys]) => [holder, [...keys]] as const);
        news.current = new Map();
        return taken;
    };
    const forget: ChainMemory["forget"] = holder => {
        all.delete(holder);
    };
    return { holders, note, hear, takeNews, forget };
}
