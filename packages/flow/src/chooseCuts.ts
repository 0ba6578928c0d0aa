import type { Millis } from "@azureshunt/core";

import { flowLevels } from "./flowLevels.js";
import type { HeldRequest } from "./HeldRequest.js";

type CutQuery = {
    /** In bytes. */
    readonly budget: number;
    readonly now: Millis;
};

/**
 * Returns the requests that are cut off.
 *
 * Load: callers that read nothing fill the memory of a VM. If all were treated alike, those that read would be refused
 * or cut off with them. To prevent this, the answer that has been unread for longest is cut off first; one that is being
 * read has just been read. Up to the budget, only answers are cut off that have been unread for a while; beyond it, any.
 * Answers to requests that may not be repeated would be lost. They are cut off only beyond the budget, after all
 * others, and if they have been unread for longer: the process would run out of memory, and lose all answers.
 *
 * An answer that is still being read waits for its endpoint, not for its caller. It is cut off only if the rest exceeds
 * the budget after all that waits for callers was cut off; the largest first, so that few are.
 */
export function chooseCuts<Held extends HeldRequest>(
    held: readonly Held[],
    { budget, now }: CutQuery,
): readonly Held[] {
    const total = held.reduce((sum, { bytes }) => sum + bytes, 0);
    if (total <= flowLevels.high * budget) {
        return [];
    }
    const unreadFor = ({ unreadSince = Infinity }: HeldRequest): Millis => now - unreadSince;
    const minUnreadMs = total > budget ? 0 : flowLevels.unreadMs;
    const unread = held
        .filter(each =>
            each.bytes > 0 && unreadFor(each) >= (each.isRepeatable ? minUnreadMs : flowLevels.onceUnreadMs)
        )
        .sort((a, b) => unreadFor(b) - unreadFor(a) || b.bytes - a.bytes);
    const state = { left: total };
    const take = (candidates: readonly Held[], level: number): readonly Held[] =>
        candidates.filter(({ bytes }) => {
            const isCut = state.left > level * budget;
            state.left -= isCut ? bytes : 0;
            return isCut;
        });
    const cut = [
        ...take(unread.filter(({ isRepeatable }) => isRepeatable), flowLevels.low),
        ...take(total > budget ? unread.filter(({ isRepeatable }) => !isRepeatable) : [], flowLevels.high),
    ];
    if (state.left <= budget) {
        return cut;
    }
    const incomplete = held
        .filter(({ bytes, unreadSince, answerSince, isRepeatable }) =>
            bytes > 0 && unreadSince === undefined && answerSince !== undefined
            && (isRepeatable || now - answerSince >= flowLevels.onceUnreadMs)
        )
        .sort((a, b) => Number(b.isRepeatable) - Number(a.isRepeatable) || b.bytes - a.bytes);
    return [...cut, ...take(incomplete, flowLevels.high)];
}
