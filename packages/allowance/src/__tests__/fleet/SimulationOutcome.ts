import type { Spend } from "./Spend.js";

/** Results of one simulation. */
export type SimulationOutcome = {
    /** Tokens used by admitted requests, at the time of their admission. */
    readonly spends: readonly Spend[];
    readonly refusals: readonly (Spend & { readonly reason: string; readonly waitedMs: number; })[];
    readonly faults: readonly string[];
    readonly messages: number;
    /**
     * Number of requests on running VMs that waited longer than any request may; the time that homes need to take over
     * after a start is allowed for.
     */
    readonly unanswered: number;
};
