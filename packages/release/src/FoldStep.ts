import type { ConfigurationState } from "./ConfigurationState.js";
import type { FoldOutcome } from "./FoldOutcome.js";

/** State after folding one record, and the outcome for that record. */
export type FoldStep = {
    readonly state: ConfigurationState;
    readonly outcome: FoldOutcome;
};
