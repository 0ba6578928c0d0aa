import type { EndpointName } from "@azureshunt/core";

import type { Candidate } from "../../placement/Candidate.js";
import { initialHealth } from "../../placement/initialHealth.js";

/** Creates an idle engine that would have to prefill the whole prompt. */
export function candidateOf(name: string, more: Partial<Candidate> = {}): Candidate {
    return {
        name: name as EndpointName,
        health: initialHealth,
        hasBeenReached: true,
        isSameDomain: true,
        slots: 64,
        running: 0,
        ownRunning: 0,
        waitingTokens: 0,
        memoryTokens: 0,
        memorySize: 280_000,
        missingTokens: 6_000,
        fetchedTokens: 0,
        outdatedMs: undefined,
        silentMs: 0,
        domainSilentMs: 0,
        ...more,
    };
}
