import type { Spend } from "./Spend.js";

/** What a simulated run showed. */
export type FleetOutcome = {
    /** Tokens used by admitted requests, at the moment of their admission. */
    readonly spends: readonly Spend[];
    readonly refusals: readonly (Spend & { readonly reason: string; readonly waitedMs: number; })[];
    readonly faults: readonly string[];
    readonly messages: number;
    /** Requests that were never answered while their VM lived. */
    readonly unanswered: number;
};
