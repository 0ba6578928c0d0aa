/** One simulated run. */
export type FleetOptions = {
    readonly seed: number;
    readonly rate: number;
    readonly burst: number;
    /** Milliseconds of simulated time. */
    readonly lengthMs: number;
    /** Tokens a second that callers want, over all VMs. */
    readonly demand: number;
    /** Largest request. */
    readonly maxTokens: number;
    /** Least part of a request's charge that it uses in the end. */
    readonly leastUsed: number;
    /** Faults a second; 0 for none at all, lost and repeated messages included. */
    readonly faults: number;
    /** Names of the failure domains that callers call; all when left out. */
    readonly calledDomains?: readonly string[];
};
