import type { EndpointName, Millis, Tokens } from "@azureshunt/core";
import type { PerformanceModel } from "@azureshunt/performance";

import type { EndpointHealth } from "./EndpointHealth.js";

/** An endpoint that could take a request, with its current state as this VM knows it. */
export type Candidate = {
    readonly name: EndpointName;
    readonly health: EndpointHealth;
    /** Whether this VM has opened a connection to it, and no try since has failed to reach it. */
    readonly hasBeenReached: boolean;
    /** Whether the endpoint is in this VM's failure domain. */
    readonly isSameDomain: boolean;
    readonly slots: number;
    /** Requests running or queued there: this VM's own, and those that the peers last reported. */
    readonly running: number;
    /** Those of this VM alone. */
    readonly ownRunning: number;
    /** Prompt tokens of requests whose answers have not started. */
    readonly waitingTokens: Tokens;
    /** Tokens that its requests occupy in the KV cache; 0 for plain services. */
    readonly memoryTokens: Tokens;
    /** Capacity of the KV cache; 0 for plain services. */
    readonly memorySize: Tokens;
    /** Prompt tokens of this request that the endpoint would have to prefill. */
    readonly missingTokens: Tokens;
    /** Time since newer target weights were set; undefined if it holds the newest. */
    readonly outdatedMs: Millis | undefined;
    /** Time without activity beyond the usual gap; 0 if healthy. */
    readonly silentMs: Millis;
    /** How long its failure domain has been silent; 0 for this VM's own. */
    readonly domainSilentMs: Millis;
    /** Prompt tokens that it can fetch from another engine or the cache store instead of prefilling them. */
    readonly fetchedTokens: Tokens;
    /** What is known of its speed; undefined while nothing was observed of its service. */
    readonly performance?: PerformanceModel | undefined;
    /** By what factor this VM's unanswered tries there have outlasted their predictions. */
    readonly overdue?: number;
};
