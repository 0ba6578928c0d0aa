import type { Candidate } from "./Candidate.js";
import { lowestBy } from "./lowestBy.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Baseline: the fewest requests running or waiting; equal ones in turn. */
export function leastLoaded(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const fewest = lowestBy(candidates, each => each.load.requests)?.load.requests;
    const equals = candidates.filter(each => each.load.requests === fewest);
    return equals[request.turn % equals.length];
}
