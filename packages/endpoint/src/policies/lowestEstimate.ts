import type { Candidate } from "./Candidate.js";
import { lowestBy } from "./lowestBy.js";
import type { PolicyRequest } from "./PolicyRequest.js";
import { rendezvousWeight } from "./rendezvousWeight.js";

/** Milliseconds within which estimates count as equal. */
const TOLERANCE_MS = 2;
/** Part of the lowest estimate within which estimates of a prompt that is cached count as equal. */
const TOLERANCE_PART = 0.1;
/**
 * The same for a prompt of which pieces must be computed. Where they are computed they will be cached, and draw later
 * requests: a little time now buys a better spread of that load.
 */
const SPREAD_PART = 0.35;

const holdsWhole = (request: PolicyRequest, candidate: Candidate): boolean =>
    candidate.matchedPieces >= request.pieces.length;

/** Candidates as good as the best one, by their estimates. */
function closeOnes(request: PolicyRequest, candidates: readonly Candidate[]): readonly Candidate[] {
    const best = lowestBy(candidates, each => each.estimate.total);
    if (best === undefined) {
        return [];
    }
    const part = holdsWhole(request, best) ? TOLERANCE_PART : SPREAD_PART;
    const limit = best.estimate.total + Math.max(TOLERANCE_MS, best.estimate.total * part);
    return candidates.filter(each => each.estimate.total <= limit);
}

/**
 * Ours: the lowest estimated time to the first token. Among candidates that are as good as equal, one that holds the
 * whole prompt goes first, then the one with the fewest requests. Where these are equal too, the choice follows the
 * first piece that they miss: all daemons then send a new prefix to the same endpoint, and different prefixes to
 * different ones, without asking one another.
 */
export function lowestEstimate(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const close = closeOnes(request, candidates);
    const whole = close.filter(each => holdsWhole(request, each));
    const preferred = whole.length > 0 ? whole : close;
    const fewest = Math.min(...preferred.map(each => each.load.requests));
    const equals = preferred.filter(each => each.load.requests === fewest);
    const matched = Math.max(...equals.map(each => each.matchedPieces));
    const longest = equals.filter(each => each.matchedPieces === matched);
    // A prompt that is cached whole on several endpoints is spread over them by chance.
    const key = request.pieces[matched] ?? String(request.random);
    return lowestBy(longest, each => -rendezvousWeight(key, each.endpoint));
}
