import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Baseline: the candidates in turn. */
export function roundRobin(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    return candidates[request.turn % candidates.length];
}
