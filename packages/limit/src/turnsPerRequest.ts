import { limitTiming } from "./limitTiming.js";
import type { OfferedLoad } from "./OfferedLoad.js";

/**
 * Returns the fraction of a turn that a VM gathers at a limited endpoint with each request that it places: the part of all
 * VMs' requests that the endpoint takes. As each request counts alike, VMs share the limit by their load without asking
 * each other, and a VM without requests holds no turns.
 *
 * Callers of many VMs may send more at the same moment: if this VM's load has grown, the others' is taken to have grown as
 * much, before they state it. Of a limit, silent VMs keep an even share: they may be cut off and place requests as well.
 *
 * @param perSecond the endpoint's limit
 */
export function turnsPerRequest(perSecond: number, load: OfferedLoad): number {
    const { ownPerSecond, ownEarlier, othersPerSecond, vms, silentVms, isSettling } = load;
    const { usedFraction, minPerSecond, idlePerSecond } = limitTiming;
    const room = usedFraction * Math.max(minPerSecond, perSecond) * (vms - silentVms) / vms;
    const growth = Math.max(1, ownPerSecond / (ownEarlier + idlePerSecond));
    const stated = Math.max(ownPerSecond + othersPerSecond, vms * idlePerSecond) * growth;
    return Math.min(1, room / Math.max(stated, isSettling ? vms * ownPerSecond : 0));
}
