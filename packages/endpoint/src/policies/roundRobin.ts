import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Baseline policy: chooses the candidates in rotation. */
export function roundRobin(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    return candidates[request.turn % candidates.length];
}
