import type { Candidate } from "./Candidate.js";
import { lowestBy } from "./lowestBy.js";
import type { PolicyRequest } from "./PolicyRequest.js";
import { rendezvousWeight } from "./rendezvousWeight.js";

/** Milliseconds within which estimates count as equal. */
const TOLERANCE_MS = 2;
/** Part of the lowest estimate within which estimates count as equal. */
const TOLERANCE_PART = 0.1;

/**
 * Ours: the lowest estimated time to the first token. Among candidates that are as good as equal, one that holds more
 * of the prompt goes first. Where they hold the same, the choice follows the first piece that they miss: all daemons
 * then send a new prefix to the same endpoint, and different prefixes to different ones, without asking one another.
 */
export function lowestEstimate(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const lowest = lowestBy(candidates, each => each.estimate.total)?.estimate.total ?? 0;
    const limit = lowest + Math.max(TOLERANCE_MS, lowest * TOLERANCE_PART);
    const close = candidates.filter(each => each.estimate.total <= limit);
    const matched = Math.max(...close.map(each => each.matchedPieces));
    const equals = close.filter(each => each.matchedPieces === matched);
    const missing = request.pieces[matched];
    // A prompt that is cached whole on several endpoints is spread over them by chance.
    const key = missing ?? String(request.random);
    return lowestBy(equals, each => -rendezvousWeight(key, each.endpoint));
}
