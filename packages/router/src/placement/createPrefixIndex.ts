import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { HolderLimits } from "./HolderLimits.js";
import type { PrefixPart } from "./PrefixPart.js";

/** A holder of cached prompt parts: an engine by name, or the cache store by its address. */
type PrefixHolder = EndpointName | string;

/** A holder, and the length of the prefix of one prompt that it has cached. */
type HeldPrefix = { readonly holder: PrefixHolder; readonly tokens: Tokens; };

/** Records which prompt prefixes engines and the cache store have cached recently. */
type PrefixIndex = {
    /** All holders of a prefix of the prompt. */
    readonly holders: (chain: readonly PrefixPart[], now: Millis) => readonly HeldPrefix[];
    /** Records that the holder has prefilled or stored these parts, and queues an update for the peers. */
    readonly record: (holder: PrefixHolder, chain: readonly PrefixPart[], now: Millis) => void;
    /** Records parts that a peer reported. */
    readonly receiveParts: (holder: PrefixHolder, parts: readonly PrefixPart[], now: Millis) => void;
    /** Returns and clears what this VM has recorded since the last call, to be sent to the peers. */
    readonly drainUpdates: () => readonly (readonly [PrefixHolder, readonly PrefixPart[]])[];
    /** Removes all parts of a holder. */
    readonly forget: (holder: PrefixHolder) => void;
    /** Number of parts of all holders, with those that are to be sent to the peers. */
    readonly size: () => number;
};

type IndexedPart = { readonly tokens: Tokens; readonly usedAt: Millis; };

/** The parts of one holder, least recently used first, and the sum of their tokens. */
type HolderIndex = { readonly parts: Map<string, IndexedPart>; total: Tokens; usedAt: Millis; };

/** Bounds the index of one holder whatever its cache size: the store keeps far more parts than are worth indexing. */
const MAX_PARTS_PER_HOLDER = 4_000;
/** Bounds the index of all holders together, at some 150 bytes a part; each has the same share of it. */
const MAX_PARTS = 100_000;

const maxPartsOfEach = (holders: number): number => Math.min(MAX_PARTS_PER_HOLDER, Math.floor(MAX_PARTS / holders));

const drop = (index: HolderIndex, key: string): void => {
    index.total -= index.parts.get(key)?.tokens ?? 0;
    index.parts.delete(key);
};

/** Moves a part to the end, as the most recently used one. */
const touch = (index: HolderIndex, { key, tokens }: PrefixPart, now: Millis): void => {
    drop(index, key);
    index.parts.set(key, { tokens, usedAt: now });
    index.total += tokens;
};

const isOverLimit = ({ parts, total }: HolderIndex, size: Tokens, maxParts: number): boolean =>
    total > size || parts.size > maxParts;

const shrink = (index: HolderIndex, size: Tokens, maxParts: number): void => {
    if (!isOverLimit(index, size, maxParts)) {
        return;
    }
    [...index.parts.keys()].every(key => {
        drop(index, key);
        return isOverLimit(index, size, maxParts);
    });
};

/**
 * Creates an empty prefix index. It follows the eviction of each holder's cache: the least recently used parts make
 * room for new ones.
 *
 * Under full traffic with long prompts, a dozen of them fill an engine, which then evicts a shared part within three
 * seconds. If the part still counted as cached, it would be neither fetched nor saved, and the engine would prefill it
 * again.
 *
 * @param limitsOf returns what a holder can keep
 */
export function createPrefixIndex(limitsOf: (holder: PrefixHolder) => HolderLimits): PrefixIndex {
    const all = new Map<PrefixHolder, HolderIndex>();
    const updates = { current: new Map<PrefixHolder, Map<string, Tokens>>() };

    const holders: PrefixIndex["holders"] = (chain, now) =>
        [...all].flatMap(([holder, { parts }]) => {
            const since = now - limitsOf(holder).expiryMs;
            const missing = chain.findIndex(({ key }) => (parts.get(key)?.usedAt ?? -Infinity) < since);
            const cached = missing < 0 ? chain : chain.slice(0, missing);
            return cached.length === 0 ? [] : [{ holder, tokens: cached.reduce((sum, { tokens }) => sum + tokens, 0) }];
        });
    /** A beacon may name an engine after this VM has forgotten it, and mostly it starts again with another name. */
    const forgetExpired = (now: Millis): void =>
        [...all]
            .filter(([holder, { usedAt }]) => usedAt < now - limitsOf(holder).expiryMs)
            .forEach(([holder]) => all.delete(holder));
    const receiveParts: PrefixIndex["receiveParts"] = (holder, parts, now) => {
        const known = all.get(holder);
        if (known === undefined) {
            forgetExpired(now);
        }
        const index = known ?? { parts: new Map(), total: 0, usedAt: now };
        index.usedAt = now;
        all.set(holder, index);
        const maxParts = maxPartsOfEach(all.size);
        if (known === undefined && maxParts < MAX_PARTS_PER_HOLDER) {
            all.forEach((each, name) => shrink(each, limitsOf(name).size, maxParts));
        }
        // A part is useless without those before it, so the last part of a prompt is evicted first.
        parts.toReversed().forEach(part => touch(index, part, now));
        shrink(index, limitsOf(holder).size, maxParts);
    };
    const record: PrefixIndex["record"] = (holder, chain, now) => {
        receiveParts(holder, chain, now);
        const pending = updates.current.get(holder) ?? new Map<string, Tokens>();
        // The last part belongs to this request alone. It is sent too, as it takes up room in the cache.
        chain.forEach(({ key, tokens }) => pending.set(key, tokens));
        updates.current.set(holder, pending);
    };
    const drainUpdates: PrefixIndex["drainUpdates"] = () => {
        const drained = [...updates.current].map(([holder, pending]) =>
            [holder, [...pending].map(([key, tokens]) => ({ key, tokens }))] as const
        );
        updates.current = new Map();
        return drained;
    };
    const forget: PrefixIndex["forget"] = holder => {
        all.delete(holder);
    };
    const size: PrefixIndex["size"] = () =>
        [...[...all.values()].map(({ parts }) => parts), ...updates.current.values()].reduce(
            (sum, parts) => sum + parts.size,
            0,
        );
    return { holders, record, receiveParts, drainUpdates, forget, size };
}
