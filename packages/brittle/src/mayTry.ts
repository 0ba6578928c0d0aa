import type { EndpointName, Millis } from "@azureshunt/core";

import type { BrittleState } from "./BrittleState.js";
import { isBrittle } from "./isBrittle.js";
import { isRisky } from "./isRisky.js";
import { refusalsPerSecond } from "./refusalsPerSecond.js";
import { secondOf } from "./secondOf.js";

/** An endpoint's load as this VM knows it. */
type TryQuery = {
    readonly endpoint: EndpointName;
    readonly slots: number;
    /** Requests there of all VMs, and of this one alone. */
    readonly running: number;
    readonly ownRunning: number;
    /** Number of VMs that place requests, including this one. */
    readonly vms: number;
    /** Drawn for this request, uniform in [0, 1). */
    readonly random: number;
    /** Differs between VMs, in [0, 1): when their turns for risky tries come. */
    readonly phase: number;
};

/** Multiple of its even share of the slots that a VM uses at most, as callers are spread unevenly over VMs. */
const MAX_SHARE = 1.5;

/** A VM with fewer turns is one of very many. */
const MIN_TURNS_PER_SECOND = 0.2;

/**
 * Returns whether this VM may send a request to an endpoint.
 *
 * If all VMs send a brittle endpoint what it has no room for, it falls over, and its load then makes the others fall. So
 * each VM keeps within its share of the slots, and a request that may find no free slot takes the turn of a refusal: a
 * VM's share of these, which in large fleets is one turn in many seconds. Waiting room beyond the slots is not relied
 * on, as it may shrink. In fleets too large for a turn every few seconds, many small parts of what all VMs send add up before
 * any of them sees it, so each also sends only the fraction that the load seen lately leaves room for.
 */
export function mayTry(state: BrittleState, query: TryQuery, now: Millis): boolean {
    if (!isBrittle(state, now)) {
        return true;
    }
    const { endpoint, slots, ownRunning, vms, phase } = query;
    const tries = state.tries.get(endpoint);
    if (now < (tries?.pausedUntil ?? -Infinity) || ownRunning >= Math.max(1, Math.ceil(MAX_SHARE * slots / vms))) {
        return false;
    }
    const share = refusalsPerSecond(state, vms);
    if (!isRisky(query)) {
        return share >= MIN_TURNS_PER_SECOND || query.random < (tries?.fraction ?? 1);
    }
    const second = secondOf(now);
    const turns = Math.floor(share * (second + 1) + phase) - Math.floor(share * second + phase);
    return (tries?.second === second ? tries.riskyTries : 0) < turns;
}
