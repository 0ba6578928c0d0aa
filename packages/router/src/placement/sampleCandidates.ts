import { peerTiming } from "../peers/peerTiming.js";
import type { Candidate } from "./Candidate.js";

/** Candidates drawn at random. Two halve the longest queue where load is known late; more also find the faster engines. */
const DRAWN = 4;
/** Candidates with the least to read besides, so that a prompt still comes to engines that hold its parts. */
const HOLDERS = 2;

const draw = (candidates: readonly Candidate[], count: number, random: () => number): readonly Candidate[] =>
    candidates
        .map(candidate => ({ candidate, key: random() }))
        .toSorted((a, b) => a.key - b.key)
        .slice(0, count)
        .map(({ candidate }) => candidate);

const holdersOf = (candidates: readonly Candidate[]): readonly Candidate[] => {
    const least = candidates.reduce((min, { missingTokens }) => Math.min(min, missingTokens), Infinity);
    return candidates.filter(({ missingTokens, fetchedTokens }) => missingTokens === least && fetchedTokens === 0);
};

/**
 * Draws the candidates among which a request's endpoint is chosen.
 *
 * Load: dozens of VMs hear of each other's load a second late. Each sends all that comes in that second to the engine that
 * looked idle, so that queues go to and fro between engines: half of the long prompts were late on a quiet day. Best of a
 * few drawn at random spreads the choices, and mostly avoids the long queues.
 *
 * @param choosers VMs that choose among these endpoints
 */
export function sampleCandidates(
    candidates: readonly Candidate[],
    choosers: number,
    random: () => number,
): readonly Candidate[] {
    return choosers <= peerTiming.fewVms || candidates.length <= DRAWN
        ? candidates
        : [...new Set([...draw(candidates, DRAWN, random), ...draw(holdersOf(candidates), HOLDERS, random)])];
}
