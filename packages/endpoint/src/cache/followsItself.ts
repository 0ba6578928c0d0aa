import type { Millis } from "@azureshunt/core";

/** Silence after which the next VM in order takes over; each further one waits this much longer. */
const PATIENCE_MS = 1_000;
const MAX_PATIENCE_MS = 5_000;

/** News of an engine that came from another VM. */
type HeardNews = {
    /** Place of that VM in the engine's order. */
    readonly rank: number;
    readonly at: Millis;
};

/**
 * Decides whether a VM follows an engine itself or relies on another one to forward the engine's news.
 *
 * Failure: the forwarding VM dies, or is cut off from this one; it shows as silence. Guard: a VM that hears nothing for
 * its patience follows the engine itself, and forwards in its turn; the next in order does so first, so that a failure
 * domain's VMs do not all turn to the engine at once. A VM that has heard nothing yet follows at once.
 *
 * @param rank place of this VM in the engine's order, 0 for the first
 */
export function followsItself(rank: number, heard: HeardNews | undefined, now: Millis): boolean {
    const patience = Math.min(MAX_PATIENCE_MS, rank * PATIENCE_MS);
    return heard === undefined || heard.rank >= rank || now - heard.at >= patience;
}
