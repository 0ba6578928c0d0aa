import type { Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "../placement/ChainPart.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** Where a try goes, and what it finds there. */
export type TryPlace = {
    readonly entry: EndpointEntry;
    readonly weights: number | undefined;
    /** Until it turns to the request, and until its answer begins, as estimated. */
    readonly queueMs: Millis;
    readonly startMs: Millis;
    /** How many endpoints could have taken it. */
    readonly candidates: number;
    /** Requests that ran there when it was chosen. */
    readonly running: number;
    readonly missingTokens: Tokens;
    readonly memoryTokens: Tokens;
    readonly salt: string | undefined;
    readonly chain: readonly ChainPart[];
    /** `host:port` to fetch parts of the prompt from. */
    readonly source: string | undefined;
    /** Tokens at the prompt's beginning that the cache store has, as far as is known. */
    readonly storedTokens: Tokens;
};
