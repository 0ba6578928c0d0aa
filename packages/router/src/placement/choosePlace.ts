import type { Millis } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import { estimateStart } from "./estimateStart.js";
import type { StartEstimate } from "./StartEstimate.js";

/** Age of newer target weights from which an endpoint that is still on replaced weights costs more. */
const OUTDATED_AFTER_MS = 1_200;
/** Cost of running a request on weights replaced that long ago. */
const OUTDATED_COST_MS = 250;
/** Cost of a failed try: a retry if one is allowed, otherwise the whole answer. */
const FAILURE_COST_MS = 1_500;
/** Cost per millisecond of silence: a silent endpoint is chosen only if the others' queues are about as long. */
const SILENCE_WEIGHT = 2;
/** Maximum cost of a silent failure domain, so that it is still tried if no other is reachable. */
const MAX_DOMAIN_SILENCE_COST_MS = 3_000;
/** Random spread of costs, so that VMs that see the same loads do not all choose the same endpoint. */
const JITTER_MS = 6;

/** The chosen endpoint and its estimated start. */
type Place = StartEstimate & { readonly candidate: Candidate; };

const costOf = (candidate: Candidate, startMs: Millis, jitter: number): number => {
    const isOutdated = candidate.outdatedMs !== undefined && candidate.outdatedMs > OUTDATED_AFTER_MS;
    return startMs
        + (isOutdated ? OUTDATED_COST_MS : 0)
        + candidate.health.failureRate * FAILURE_COST_MS
        + candidate.silentMs * SILENCE_WEIGHT
        + Math.min(MAX_DOMAIN_SILENCE_COST_MS, candidate.domainSilentMs * SILENCE_WEIGHT)
        + jitter * JITTER_MS;
};

/**
 * Chooses the endpoint with the lowest cost for the caller: the estimated start of the answer (queue and prefill), plus
 * penalties in milliseconds for replaced weights, recent failures and silence.
 *
 * Under load, several VMs place long prompts on few engines at once; some of these engines hold the shared parts, some
 * are loading new weights or have become silent.
 *
 * @param candidates endpoints that may get the request
 * @param now determines which candidates are in backoff; if all are, the one whose backoff ends first is tried
 * @param random uniformly distributed in [0, 1)
 * @returns undefined if there are no candidates
 */
export function choosePlace(
    candidates: readonly Candidate[],
    now: Millis,
    random: () => number,
): Place | undefined {
    const available = candidates.filter(({ health }) => health.backoffUntil <= now);
    const earliestEnd = Math.min(...candidates.map(({ health }) => health.backoffUntil));
    const usable = available.length > 0
        ? available
        : candidates.filter(({ health }) => health.backoffUntil === earliestEnd);
    return usable
        .map(candidate => ({ candidate, ...estimateStart(candidate, now) }))
        .map(place => ({ place, cost: costOf(place.candidate, place.rankMs, random()) }))
        .reduce<{ place: Place; cost: number; } | undefined>(
            (best, each) => best === undefined || each.cost < best.cost ? each : best,
            undefined,
        )?.place;
}
