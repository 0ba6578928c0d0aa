import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "./ChainPart.js";

/** Who may hold parts of prompts: engines, and the store of cached parts by its address. */
type Holder = EndpointName | string;

/** Remembers which beginnings of prompts engines and the cache store have read or taken lately. */
type ChainMemory = {
    /** Tokens at the beginning of a prompt that the holder has. */
    readonly heldTokens: (holder: Holder, chain: readonly ChainPart[], now: Millis) => Tokens;
    /** Those who hold the first part of a prompt. */
    readonly holders: (chain: readonly ChainPart[], now: Millis) => readonly Holder[];
    /** Notes that the holder has read or taken these parts. */
    readonly note: (holder: Holder, chain: readonly ChainPart[], now: Millis) => void;
    /** Forgets all that a holder had. */
    readonly forget: (holder: Holder) => void;
};

/** Engines drop what is not used within seconds; what was used longer ago is no longer counted on. */
const REMEMBERED_MS = 10_000;
/** Parts remembered for one holder; the ones noted longest ago go first. */
const PARTS_PER_HOLDER = 2_000;

/** Makes an empty memory of cached beginnings of prompts. */
export function createChainMemory(): ChainMemory {
    const all = new Map<Holder, Map<string, Millis>>();

    const isHeld = (holder: Holder, { key }: ChainPart, now: Millis): boolean =>
        now - (all.get(holder)?.get(key) ?? -Infinity) < REMEMBERED_MS;
    const heldTokens: ChainMemory["heldTokens"] = (holder, chain, now) => {
        const missing = chain.findIndex(part => !isHeld(holder, part, now));
        return chain.slice(0, missing < 0 ? chain.length : missing).reduce((sum, { tokens }) => sum + tokens, 0);
    };
    const holders: ChainMemory["holders"] = ([first], now) =>
        first === undefined ? [] : [...all.keys()].filter(holder => isHeld(holder, first, now));
    const note: ChainMemory["note"] = (holder, chain, now) => {
        const parts = all.get(holder) ?? new Map<string, Millis>();
        all.set(holder, parts);
        chain.forEach(({ key }) => {
            // Set anew, so that the map stays in the order of use.
            parts.delete(key);
            parts.set(key, now);
        });
        if (parts.size > PARTS_PER_HOLDER) {
            [...parts.keys()].slice(0, parts.size - PARTS_PER_HOLDER).forEach(key => parts.delete(key));
        }
    };
    const forget: ChainMemory["forget"] = holder => {
        all.delete(holder);
    };
    return { heldTokens, holders, note, forget };
}
