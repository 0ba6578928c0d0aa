import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import { isAlive } from "./isAlive.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

type Choice = { readonly vm: VmId; readonly capacity: number; };

const byCapacity = (a: Choice, b: Choice): number => b.capacity - a.capacity || (a.vm < b.vm ? -1 : 1);

/**
 * Lists the relays of a failure domain: of the VMs that are alive, those with the highest capacity, and of equal ones
 * the first by name. Each VM computes them on its own; while views differ, some VMs get the same state twice.
 *
 * If hundreds of VMs each sent their state to all others, bytes and wake-ups would grow with the square of their
 * number. With relays, a VM sends to two others, and a relay to the VMs of its failure domain and the relays of the
 * others.
 */
export function relaysOf(members: Members, domain: FailureDomain, now: Millis): readonly VmId[] {
    const alive = [...members.known.values()]
        .filter(({ failureDomain }) => failureDomain === domain)
        .filter(member => isAlive(member, now));
    const self = domain === members.failureDomain ? [members] : [];
    return [...alive, ...self].toSorted(byCapacity).slice(0, peerTiming.relays).map(({ vm }) => vm);
}
