import type { Millis, Tokens } from "@azureshunt/core";

import type { Candidate } from "../placement/Candidate.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** The endpoint chosen for a try, with the data behind the choice. */
export type TryPlace = {
    readonly entry: EndpointEntry;
    readonly weights: number | undefined;
    /** Estimated time until the endpoint turns to the request, and until its answer begins. */
    readonly queueMs: Millis;
    readonly startMs: Millis;
    /** Estimated start by the constants alone; see `StartEstimate`. */
    readonly usualMs: Millis;
    /** The endpoint as it was when it was chosen. */
    readonly candidate: Candidate;
    /** Number of endpoints that could have taken the request. */
    readonly candidateCount: number;
    /** Requests that were running at the endpoint when it was chosen. */
    readonly running: number;
    readonly slots: number;
    readonly missingTokens: Tokens;
    readonly memoryTokens: Tokens;
    readonly salt: string | undefined;
    /** Tokens of the prompt parts that other requests may share, and of the last one. */
    readonly sharedTokens: Tokens;
    readonly ownTokens: Tokens;
    /** `host:port` from which the endpoint fetches parts of the prompt. */
    readonly source: string | undefined;
    /** `host:port` of the cache store that keeps the prompt's shared parts. */
    readonly store: string | undefined;
    /** Length of the prompt prefix that the cache store is known to hold. */
    readonly storedTokens: Tokens;
};
