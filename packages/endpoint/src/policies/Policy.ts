import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Chooses an endpoint; undefined only if there are no candidates. Candidates are sorted by name. */
export type Policy = (request: PolicyRequest, candidates: readonly Candidate[]) => Candidate | undefined;
