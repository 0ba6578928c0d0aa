import { peerTiming } from "../peers/peerTiming.js";
import type { Candidate } from "./Candidate.js";

/** Candidates drawn at random. With outdated load, two halve the longest queue; more also find the faster engines. */
const DRAWN_COUNT = 4;
/** Further candidates with the least to prefill, so that a prompt still reaches engines that have its prefix cached. */
const HOLDER_COUNT = 2;

const draw = (candidates: readonly Candidate[], count: number, random: () => number): readonly Candidate[] =>
    candidates
        .map(candidate => ({ candidate, key: random() }))
        .toSorted((a, b) => a.key - b.key)
        .slice(0, count)
        .map(({ candidate }) => candidate);

const prefixHoldersOf = (candidates: readonly Candidate[]): readonly Candidate[] => {
    const least = candidates.reduce((min, { missingTokens }) => Math.min(min, missingTokens), Infinity);
    return candidates.filter(({ missingTokens, fetchedTokens }) => missingTokens === least && fetchedTokens === 0);
};

/**
 * Draws the candidates from which a request's endpoint is chosen.
 *
 * Dozens of VMs receive each other's load a second late. If each sent all requests of that second to the engine that
 * looked idle, queues would swing between engines: half of the long prompts were late even under low load. Choosing the
 * best of a few random candidates spreads the requests and mostly avoids long queues.
 *
 * @param placingVms VMs that choose among these endpoints; up to `peerTiming.fewVms` all candidates are returned
 * @param random uniformly distributed in [0, 1)
 */
export function sampleCandidates(
    candidates: readonly Candidate[],
    placingVms: number,
    random: () => number,
): readonly Candidate[] {
    return placingVms <= peerTiming.fewVms || candidates.length <= DRAWN_COUNT
        ? candidates
        : [
            ...new Set([
                ...draw(candidates, DRAWN_COUNT, random),
                ...draw(prefixHoldersOf(candidates), HOLDER_COUNT, random),
            ]),
        ];
}
