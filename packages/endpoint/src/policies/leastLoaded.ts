import type { Candidate } from "./Candidate.js";
import { lowestBy } from "./lowestBy.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Baseline policy: chooses the fewest running and waiting requests, and rotates among equal candidates. */
export function leastLoaded(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const fewest = lowestBy(candidates, each => each.load.requests)?.load.requests;
    const equals = candidates.filter(each => each.load.requests === fewest);
    return equals[request.turn % equals.length];
}
