/** One simulated run. */
export type FleetOptions = {
    readonly seed: number;
    readonly rate: number;
    readonly burst: number;
    /** Milliseconds of simulated time. */
    readonly lengthMs: number;
    /** Tokens a second that callers want, over all VMs. */
    readonly demand: number;
    /** Milliseconds between floods of a second each, with a trickle in between; always the same demand when left out. */
    readonly floodEveryMs?: number;
    /** Largest request. */
    readonly maxTokens: number;
    /** Least part of a request's charge that it uses in the end. */
    readonly leastUsed: number;
    /** Chances of a message to be lost, to be repeated and to be late, each; 0 when left out. */
    readonly messageFaults?: number;
    /** Milliseconds that each message takes besides, as between VMs that are busy; 0 when left out. */
    readonly lagMs?: number;
    /** Faults a second; 0 for none at all. */
    readonly faults: number;
    /** Names of the failure domains that callers call; all when left out. */
    readonly calledDomains?: readonly string[];
};
