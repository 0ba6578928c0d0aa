import type { Millis, Tokens } from "@azureshunt/core";

import { estimateFirstToken } from "../estimate/estimateFirstToken.js";
import type { CacheFetch } from "../policies/CacheFetch.js";
import type { Candidate } from "../policies/Candidate.js";
import { lowestBy } from "../policies/lowestBy.js";
import type { EndpointState } from "../state/EndpointState.js";
import { loadOf } from "../state/loadOf.js";
import { prefillRates } from "../state/prefillRates.js";
import { roundTripOf } from "../state/roundTripOf.js";
import { slotMsOf } from "../state/slotMsOf.js";
import { slotsOf } from "../state/slotsOf.js";

/** Inputs of `candidatesOf`. `matched` and `confirmed` are in the order of `endpoints`. */
type CandidatesInput = {
    /** Endpoints that may run the request. */
    readonly endpoints: readonly EndpointState[];
    /** Number of leading pieces of the prompt that each endpoint holds or is expected to hold soon. */
    readonly matched: readonly number[];
    /** Number of leading pieces that each endpoint reported to hold; others may fetch these from it. */
    readonly confirmed: readonly number[];
    /** Time to fetch one piece from another endpoint; undefined if fetching is not possible. */
    readonly fetchMsPerPiece: Millis | undefined;
    readonly promptTokens: Tokens;
    readonly pieceTokens: Tokens;
    readonly now: Millis;
};

/** Returns the longest confirmed match of any endpoint; undefined if fetching is not possible or nothing matches. */
function longestSource({ endpoints, confirmed, fetchMsPerPiece }: CandidatesInput): CacheFetch | undefined {
    const pieces = Math.max(0, ...confirmed);
    const source = endpoints[confirmed.indexOf(pieces)];
    return source === undefined || pieces === 0 || fetchMsPerPiece === undefined
        ? undefined
        : { from: source.name, pieces };
}

/** Estimates the time to the first token at each endpoint, with and without a fetch, and keeps the lower estimate. */
export function candidatesOf(input: CandidatesInput): readonly Candidate[] {
    const { endpoints, matched, promptTokens, pieceTokens, fetchMsPerPiece, now } = input;
    const rates = prefillRates(endpoints, now);
    const source = longestSource(input);
    return endpoints.map((state, i) => {
        const msPerToken = rates[i]!;
        const load = loadOf(state, msPerToken, now);
        const matchedPieces = matched[i] ?? 0;
        const candidateWith = (fetch: CacheFetch | undefined): Candidate => {
            const heldPieces = fetch?.pieces ?? matchedPieces;
            const estimate = estimateFirstToken({
                load,
                slots: slotsOf(state),
                msPerToken,
                uncachedTokens: Math.max(1, promptTokens - heldPieces * pieceTokens),
                fetch: (heldPieces - matchedPieces) * (fetchMsPerPiece ?? 0),
                network: roundTripOf(state),
                coldStart: 0,
                slotMs: slotMsOf(state),
            });
            return { endpoint: state.name, load, matchedPieces, fetch, estimate };
        };
        const options = source === undefined || source.pieces <= matchedPieces ? [undefined] : [undefined, source];
        return lowestBy(options.map(candidateWith), each => each.estimate.total)!;
    });
}
