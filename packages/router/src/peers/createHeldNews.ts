import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointBook } from "../placement/EndpointBook.js";

/** How long a new version is told with each beacon, so that a lost one does no harm. */
const RECENT_MS: Millis = 3_000;
/** Others that are told along, by turns. */
const REPEATED = 8;

/**
 * Makes the function that chooses which engines' versions a beacon names: those that this VM saw change lately, and some of
 * the others by turns.
 *
 * Load: dozens of VMs each tell all the others of dozens of engines, nearly always the same; that was the larger part of
 * each beacon. A VM that missed a change hears of it all the same, from whichever VM's turn comes first.
 */
export function createHeldNews(
    held: EndpointBook["heldVersions"],
    now: () => Millis,
): () => readonly (readonly [EndpointName, number])[] {
    const turn = { next: 0 };
    return () => {
        const all = held();
        const recent = all.filter(({ seenAt }) => now() - seenAt < RECENT_MS);
        const others = all.filter(each => !recent.includes(each));
        const from = others.length === 0 ? 0 : turn.next % others.length;
        const repeated = [...others.slice(from), ...others.slice(0, from)].slice(0, REPEATED);
        turn.next = from + repeated.length;
        return [...recent, ...repeated].map(({ endpoint, version }) => [endpoint, version] as const);
    };
}
