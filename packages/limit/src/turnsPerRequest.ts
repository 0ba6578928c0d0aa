import { limitTiming } from "./limitTiming.js";
import type { OfferedLoad } from "./OfferedLoad.js";

/**
 * Returns the fraction of a turn that a VM gathers at a limited endpoint with each request that it places: the part of all
 * VMs' requests that the endpoint takes. As each request counts alike, VMs share the limit by their load without asking
 * each other, and a VM without requests holds no turns.
 *
 * Of a limit, VMs that are not heard of keep an even share: they may be cut off and place requests as well.
 *
 * @param perSecond the endpoint's limit
 */
export function turnsPerRequest(perSecond: number, load: OfferedLoad): number {
    const { ownPerSecond, othersPerSecond, vms, heardVms, isSettling } = load;
    const { usedFraction, minPerSecond, idlePerSecond } = limitTiming;
    const room = usedFraction * Math.max(minPerSecond, perSecond) * heardVms / vms;
    const offered = Math.max(
        ownPerSecond + othersPerSecond,
        vms * idlePerSecond,
        isSettling ? vms * ownPerSecond : 0,
    );
    return Math.min(1, room / offered);
}
