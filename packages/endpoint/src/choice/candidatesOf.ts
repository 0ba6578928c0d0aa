import type { Millis, Tokens } from "@azureshunt/core";

import { estimateFirstToken } from "../estimate/estimateFirstToken.js";
import type { Candidate } from "../policies/Candidate.js";
import type { EndpointState } from "../state/EndpointState.js";
import { loadOf } from "../state/loadOf.js";
import { prefillRates } from "../state/prefillRates.js";
import { roundTripOf } from "../state/roundTripOf.js";
import { slotMsOf } from "../state/slotMsOf.js";
import { slotsOf } from "../state/slotsOf.js";

/** What candidates are made from. */
type CandidatesInput = {
    /** Endpoints that may get the request. */
    readonly endpoints: readonly EndpointState[];
    /** Leading pieces of the prompt that each endpoint holds, in the order of `endpoints`. */
    readonly matched: readonly number[];
    readonly promptTokens: Tokens;
    readonly pieceTokens: Tokens;
    readonly now: Millis;
};

/** Estimates the time to the first token at each endpoint. */
export function candidatesOf(input: CandidatesInput): readonly Candidate[] {
    const { endpoints, matched, promptTokens, pieceTokens, now } = input;
    const rates = prefillRates(endpoints, now);
    return endpoints.map((state, i) => {
        const msPerToken = rates[i]!;
        const load = loadOf(state, msPerToken, now);
        const matchedPieces = matched[i] ?? 0;
        const estimate = estimateFirstToken({
            load,
            slots: slotsOf(state),
            msPerToken,
            uncachedTokens: Math.max(1, promptTokens - matchedPieces * pieceTokens),
            network: roundTripOf(state),
            coldStart: 0,
            slotMs: slotMsOf(state),
        });
        return { endpoint: state.name, load, matchedPieces, estimate };
    });
}
