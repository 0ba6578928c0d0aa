import type { Millis } from "@azureshunt/core";

/** Silence after which the next VM in order takes over; each VM after it waits this much longer. */
const TAKEOVER_DELAY_MS = 1_000;
const MAX_TAKEOVER_DELAY_MS = 5_000;

/** Last update about an engine received from another VM. */
type ReceivedUpdate = {
    /** Rank of that VM in the engine's order. */
    readonly rank: number;
    readonly at: Millis;
};

/**
 * Decides whether a VM follows an engine itself or relies on another VM to forward the engine's updates.
 *
 * If the forwarding VM dies or is cut off from this one, its updates are missing. Symptom: silence. To prevent this, a
 * VM that receives nothing for its takeover delay follows the engine itself and forwards the updates. The delay grows
 * with the rank, so that the VMs of a failure domain do not all connect to the engine at once. A VM that has received
 * nothing yet follows at once.
 *
 * @param rank rank of this VM in the engine's order, 0 for the first
 * @param lastUpdate last update received about the engine; undefined if there is none
 */
export function followsEngineDirectly(rank: number, lastUpdate: ReceivedUpdate | undefined, now: Millis): boolean {
    const takeoverDelay = Math.min(MAX_TAKEOVER_DELAY_MS, rank * TAKEOVER_DELAY_MS);
    return lastUpdate === undefined || lastUpdate.rank >= rank || now - lastUpdate.at >= takeoverDelay;
}
