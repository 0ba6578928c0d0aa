import type { StorePage } from "../ports/StorePage.js";

/**
 * Returns the offset of the first record that a read from `from` on has not returned. A page has a maximum size, so that may be
 * before the end of the topic.
 */
export function readUpTo({ records }: StorePage, from: number): number {
    return (records.at(-1)?.offset ?? from - 1) + 1;
}
