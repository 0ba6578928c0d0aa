import type { Millis } from "@azureshunt/core";

import type { SuspectKey } from "./SuspectKey.js";

/** When prompt parts were last answered, in a fixed amount of memory. */
type AnswerMemory = {
    readonly record: (key: SuspectKey, now: Millis) => void;
    /** To the second; undefined if the part is not known to have been answered. */
    readonly lastAt: (key: SuspectKey) => Millis | undefined;
};

const MS_PER_SECOND = 1_000;
const KEY_RADIX = 36;

/**
 * Creates an empty memory.
 *
 * @param slots parts that it holds at most; a part takes the place of another one whose key falls on the same slot
 */
export function createAnswerMemory(slots: number): AnswerMemory {
    const tags = new Uint32Array(slots);
    /** Seconds of the clock, plus one; 0 in a slot that is free. */
    const seconds = new Uint32Array(slots);
    const placeOf = (key: SuspectKey): { readonly slot: number; readonly tag: number; } => {
        const digest = Number.parseInt(key, KEY_RADIX);
        return { slot: digest % slots, tag: Math.floor(digest / slots) >>> 0 };
    };
    return {
        record: (key, now) => {
            const { slot, tag } = placeOf(key);
            tags[slot] = tag;
            seconds[slot] = Math.floor(now / MS_PER_SECOND) + 1;
        },
        lastAt: key => {
            const { slot, tag } = placeOf(key);
            const second = seconds[slot] ?? 0;
            return second === 0 || tags[slot] !== tag ? undefined : (second - 1) * MS_PER_SECOND;
        },
    };
}
