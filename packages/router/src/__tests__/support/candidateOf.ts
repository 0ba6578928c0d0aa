import type { EndpointName } from "@azureshunt/core";

import type { Candidate } from "../../placement/Candidate.js";
import { soundHealth } from "../../placement/soundHealth.js";

/** An idle engine that would have to read the whole prompt. */
export function candidateOf(name: string, more: Partial<Candidate> = {}): Candidate {
    return {
        name: name as EndpointName,
        health: soundHealth,
        isNear: true,
        slots: 64,
        running: 0,
        waitingTokens: 0,
        memoryTokens: 0,
        memorySize: 280_000,
        missingTokens: 6_000,
        fetchedTokens: 0,
        outdatedMs: undefined,
        silentMs: 0,
        quietMs: 0,
        ...more,
    };
}
