import type { Millis } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import { estimateStart } from "./estimateStart.js";
import type { StartEstimate } from "./StartEstimate.js";

/** From when on a request on replaced weights is worth less, and what that is weighed as. */
const OUTDATED_AFTER_MS = 1_200;
const OUTDATED_COST_MS = 250;
/** What a failed try costs: a retry where one is allowed, the whole answer where not. */
const FAILURE_COST_MS = 1_500;
/** An endpoint that gives no sign of life is taken only when the others' queues are as long. */
const SILENCE_WEIGHT = 2;
/** A failure domain out of hearing costs so much at most: with none else in reach it is tried all the same. */
const QUIET_LIMIT_MS = 3_000;
/** VMs that see the same loads must not all choose the same endpoint; spread in milliseconds. */
const JITTER_MS = 6;

/** What a choice came to. */
type Place = StartEstimate & { readonly candidate: Candidate; };

const costOf = (candidate: Candidate, startMs: Millis, draw: number): number => {
    const isOutdated = candidate.outdatedMs !== undefined && candidate.outdatedMs > OUTDATED_AFTER_MS;
    return startMs
        + (isOutdated ? OUTDATED_COST_MS : 0)
        + candidate.health.failureRate * FAILURE_COST_MS
        + candidate.silentMs * SILENCE_WEIGHT
        + Math.min(QUIET_LIMIT_MS, candidate.quietMs * SILENCE_WEIGHT)
        + draw * JITTER_MS;
};

/**
 * Chooses the endpoint of a request: the one whose answer costs the caller least, counting the queue before it, the
 * prompt tokens still to be read, replaced weights, recent failures and silence, all in milliseconds.
 *
 * Load: several VMs place long prompts on few engines at once, some of which hold the shared parts, some of which are
 * taking new weights or have fallen silent.
 *
 * @param candidates endpoints that may get the request
 * @param now to tell which are paused after failures; where all are, the one whose pause ends first is tried
 * @param random evenly distributed from 0 up to 1
 */
export function choosePlace(
    candidates: readonly Candidate[],
    now: Millis,
    random: () => number,
): Place | undefined {
    const up = candidates.filter(({ health }) => health.downUntil <= now);
    const soonest = Math.min(...candidates.map(({ health }) => health.downUntil));
    const usable = up.length > 0 ? up : candidates.filter(({ health }) => health.downUntil === soonest);
    return usable
        .map(candidate => ({ candidate, ...estimateStart(candidate) }))
        .map(place => ({ place, cost: costOf(place.candidate, place.startMs, random()) }))
        .reduce<{ place: Place; cost: number; } | undefined>(
            (best, each) => best === undefined || each.cost < best.cost ? each : best,
            undefined,
        )?.place;
}
