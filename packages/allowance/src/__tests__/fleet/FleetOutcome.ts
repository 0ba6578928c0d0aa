import type { Spend } from "./Spend.js";

/** What a simulated run showed. */
export type FleetOutcome = {
    /** Tokens used by admitted requests, at the moment of their admission. */
    readonly spends: readonly Spend[];
    readonly refusals: readonly (Spend & { readonly reason: string; readonly waitedMs: number; })[];
    readonly faults: readonly string[];
    readonly messages: number;
    /** Requests that waited longer than any may, on a VM that lived: the time in which homes settle after a start. */
    readonly unanswered: number;
};
