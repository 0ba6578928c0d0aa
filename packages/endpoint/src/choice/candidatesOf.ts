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

/** What candidates are made from. Numbers of pieces stand in the order of `endpoints`. */
type CandidatesInput = {
    /** Endpoints that may get the request. */
    readonly endpoints: readonly EndpointState[];
    /** Leading pieces of the prompt that each endpoint holds, or is expected to hold soon. */
    readonly matched: readonly number[];
    /** Leading pieces that each endpoint has said it holds: what others may fetch from it. */
    readonly confirmed: readonly number[];
    /** Milliseconds to fetch one piece from another endpoint; undefined when nothing is fetched. */
    readonly fetchMsPerPiece: Millis | undefined;
    readonly promptTokens: Tokens;
    readonly pieceTokens: Tokens;
    readonly now: Millis;
};

/** The longest confirmed match of any endpoint, if it is longer than what is held already. */
function bestFetch({ endpoints, confirmed }: CandidatesInput, held: number): CacheFetch | undefined {
    const pieces = Math.max(0, ...confirmed);
    const source = endpoints[confirmed.indexOf(pieces)];
    return source === undefined || pieces <= held ? undefined : { from: source.name, pieces };
}

/** Estimates the time to the first token at each endpoint, with and without fetching, and keeps the quicker way. */
export function candidatesOf(input: CandidatesInput): readonly Candidate[] {
    const { endpoints, matched, promptTokens, pieceTokens, fetchMsPerPiece, now } = input;
    const rates = prefillRates(endpoints, now);
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
        const fetch = fetchMsPerPiece === undefined ? undefined : bestFetch(input, matchedPieces);
        const ways = fetch === undefined ? [undefined] : [undefined, fetch];
        return lowestBy(ways.map(candidateWith), each => each.estimate.total)!;
    });
}
