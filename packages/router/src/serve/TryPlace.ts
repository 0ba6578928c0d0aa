import type { Millis, Tokens } from "@azureshunt/core";

import type { ChainPart } from "../placement/ChainPart.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** Where a try goes, and what it finds there. */
export type TryPlace = {
    readonly entry: EndpointEntry;
    readonly weights: number | undefined;
    readonly startMs: Millis;
    readonly missingTokens: Tokens;
    readonly memoryTokens: Tokens;
    readonly salt: string | undefined;
    readonly chain: readonly ChainPart[];
    /** The store of cached parts, where the configuration has one. */
    readonly cacheStore: string | undefined;
};
