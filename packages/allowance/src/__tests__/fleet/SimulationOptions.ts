/** Options of one simulation. */
export type SimulationOptions = {
    readonly seed: number;
    readonly rate: number;
    readonly burst: number;
    /** Milliseconds of simulated time. */
    readonly lengthMs: number;
    /** Tokens per second that callers request, over all VMs. */
    readonly demand: number;
    /**
     * Milliseconds between the starts of two floods of one second each, with little demand in between; the demand is
     * constant if left out.
     */
    readonly floodEveryMs?: number;
    /** Tokens of the largest request. */
    readonly maxTokens: number;
    /** Minimum fraction of its charge that a request uses. */
    readonly minUsedFraction: number;
    /** Probability that a message is lost, repeated or late, for each of the three; 0 if left out. */
    readonly messageFaults?: number;
    /** Milliseconds added to the delay of each message, as between busy VMs; 0 if left out. */
    readonly lagMs?: number;
    /** Faults per second; 0 for none, and for exact clocks. */
    readonly faults: number;
    /** Names of the failure domains that receive requests; all if left out. */
    readonly calledDomains?: readonly string[];
};
