import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Chooses an endpoint; undefined only when there is no candidate. Candidates come ordered by name. */
export type Policy = (request: PolicyRequest, candidates: readonly Candidate[]) => Candidate | undefined;
