import type { Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "./ChainPart.js";

/** Remembers which beginnings of prompts engines and the cache store have read or taken lately. */
type ChainMemory = {
    /** Tokens at the beginning of a prompt that the holder has. */
    readonly heldTokens: (holder: string, chain: readonly ChainPart[], now: Millis) => Tokens;
    /** Notes that the holder has read or taken these parts. */
    readonly note: (holder: string, chain: readonly ChainPart[], now: Millis) => void;
    /** Forgets all that a holder had. */
    readonly forget: (holder: string) => void;
};

/** Engines drop what is not used within seconds; what was used longer ago is no longer counted on. */
const REMEMBERED_MS = 10_000;
/** Parts remembered for one holder; the ones noted longest ago go first. */
const PARTS_PER_HOLDER = 2_000;

/** Makes an empty memory of cached beginnings of prompts. */
export function createChainMemory(): ChainMemory {
    const holders = new Map<string, Map<string, Millis>>();

    const heldTokens: ChainMemory["heldTokens"] = (holder, chain, now) => {
        const parts = holders.get(holder);
        const isHeld = ({ key }: ChainPart): boolean => now - (parts?.get(key) ?? -Infinity) < REMEMBERED_MS;
        const missing = chain.findIndex(part => !isHeld(part));
        return chain.slice(0, missing < 0 ? chain.length : missing).reduce((sum, { tokens }) => sum + tokens, 0);
    };
    const note: ChainMemory["note"] = (holder, chain, now) => {
        const parts = holders.get(holder) ?? new Map<string, Millis>();
        holders.set(holder, parts);
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
        holders.delete(holder);
    };
    return { heldTokens, note, forget };
}
