import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "./ChainPart.js";
import type { HolderLimits } from "./HolderLimits.js";

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
    readonly hear: (holder: ChainHolder, parts: readonly ChainPart[], now: Millis) => void;
    /** What was noted since the last call, for the other VMs. */
    readonly takeNews: () => readonly (readonly [ChainHolder, readonly ChainPart[]])[];
    /** Forgets all that a holder had. */
    readonly forget: (holder: ChainHolder) => void;
};

type RememberedPart = { readonly tokens: Tokens; readonly usedAt: Millis; };

/** The parts of one holder, the one used longest ago first. */
type HolderMemory = { readonly parts: Map<string, RememberedPart>; total: Tokens; };

/** Parts remembered for one holder, whatever its size: the store keeps far more than is worth remembering. */
const PARTS_PER_HOLDER = 4_000;

/** Takes a part out of the memory. */
const drop = (memory: HolderMemory, key: string): void => {
    memory.total -= memory.parts.get(key)?.tokens ?? 0;
    memory.parts.delete(key);
};

/** Puts a part last, as the one used most recently. */
const touch = (memory: HolderMemory, { key, tokens }: ChainPart, now: Millis): void => {
    drop(memory, key);
    memory.parts.set(key, { tokens, usedAt: now });
    memory.total += tokens;
};

const isOver = ({ parts, total }: HolderMemory, size: Tokens): boolean => total > size || parts.size > PARTS_PER_HOLDER;

const shrink = (memory: HolderMemory, size: Tokens): void => {
    if (!isOver(memory, size)) {
        return;
    }
    [...memory.parts.keys()].every(key => {
        drop(memory, key);
        return isOver(memory, size);
    });
};

/**
 * Makes an empty memory of cached beginnings of prompts. Each holder's memory is followed as the holder keeps it: the parts
 * used longest ago make room for new ones.
 *
 * Load: long prompts under full traffic. Where a dozen of them fill an engine, a shared part is gone from it within three
 * seconds; counted on for longer, it is neither fetched nor saved, and the engine reads it again.
 *
 * @param limitsOf what a holder can keep, by its name
 */
export function createChainMemory(limitsOf: (holder: ChainHolder) => HolderLimits): ChainMemory {
    const all = new Map<ChainHolder, HolderMemory>();
    const news = { current: new Map<ChainHolder, Map<string, Tokens>>() };

    const holders: ChainMemory["holders"] = (chain, now) =>
        [...all].flatMap(([holder, { parts }]) => {
            const since = now - limitsOf(holder).keptMs;
            const missing = chain.findIndex(({ key }) => (parts.get(key)?.usedAt ?? -Infinity) < since);
            const held = missing < 0 ? chain : chain.slice(0, missing);
            return held.length === 0 ? [] : [{ holder, tokens: held.reduce((sum, { tokens }) => sum + tokens, 0) }];
        });
    const hear: ChainMemory["hear"] = (holder, parts, now) => {
        const memory = all.get(holder) ?? { parts: new Map(), total: 0 };
        all.set(holder, memory);
        // A part is of no use without those before it, so the last one makes room first.
        parts.toReversed().forEach(part => touch(memory, part, now));
        shrink(memory, limitsOf(holder).size);
    };
    const note: ChainMemory["note"] = (holder, chain, now) => {
        hear(holder, chain, now);
        const told = news.current.get(holder) ?? new Map<string, Tokens>();
        // The request's own last part is told as well: nobody asks for it, but it takes room.
        chain.forEach(({ key, tokens }) => told.set(key, tokens));
        news.current.set(holder, told);
    };
    const takeNews: ChainMemory["takeNews"] = () => {
        const taken = [...news.current].map(([holder, told]) =>
            [holder, [...told].map(([key, tokens]) => ({ key, tokens }))] as const
        );
        news.current = new Map();
        return taken;
    };
    const forget: ChainMemory["forget"] = holder => {
        all.delete(holder);
    };
    return { holders, note, hear, takeNews, forget };
}
