import type { Candidate } from "./Candidate.js";
import { lowestBy } from "./lowestBy.js";
import type { PolicyRequest } from "./PolicyRequest.js";
import { rendezvousWeight } from "./rendezvousWeight.js";

/** Difference within which estimates count as equal. */
const TOLERANCE_MS = 2;
/** Fraction of the lowest estimate within which estimates count as equal, for a cached prompt. */
const TOLERANCE_FRACTION = 0.1;
/**
 * Like `TOLERANCE_FRACTION`, for a prompt with pieces to compute. The endpoint that computes them caches them and then
 * attracts later requests, so a slightly longer time now is accepted to spread that load better.
 */
const SPREAD_TOLERANCE_FRACTION = 0.35;

const holdsWholePrompt = (request: PolicyRequest, candidate: Candidate): boolean =>
    candidate.matchedPieces >= request.pieces.length;

/** Returns the candidates whose estimates count as equal to the lowest one. */
function nearBest(request: PolicyRequest, candidates: readonly Candidate[]): readonly Candidate[] {
    const best = lowestBy(candidates, each => each.estimate.total);
    if (best === undefined) {
        return [];
    }
    const fraction = holdsWholePrompt(request, best) ? TOLERANCE_FRACTION : SPREAD_TOLERANCE_FRACTION;
    const limit = best.estimate.total + Math.max(TOLERANCE_MS, best.estimate.total * fraction);
    return candidates.filter(each => each.estimate.total <= limit);
}

/**
 * Policy `azureshunt`: chooses the lowest estimated time to the first token. Among candidates whose estimates count as
 * equal, those that hold the whole prompt are preferred, then those with the fewest requests. If these are equal too,
 * the first missing piece decides by rendezvous hashing: all daemons then send a new prefix to the same endpoint, and
 * different prefixes to different endpoints, without communicating.
 */
export function lowestEstimate(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const close = nearBest(request, candidates);
    const wholeHolders = close.filter(each => holdsWholePrompt(request, each));
    const preferred = wholeHolders.length > 0 ? wholeHolders : close;
    const fewest = Math.min(...preferred.map(each => each.load.requests));
    const leastBusy = preferred.filter(each => each.load.requests === fewest);
    const matched = Math.max(...leastBusy.map(each => each.matchedPieces));
    const longestMatches = leastBusy.filter(each => each.matchedPieces === matched);
    // A prompt that several endpoints have cached completely is spread over them at random.
    const key = request.pieces[matched] ?? String(request.random);
    return lowestBy(longestMatches, each => -rendezvousWeight(key, each.endpoint));
}
