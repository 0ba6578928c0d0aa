import type { ConfigurationState } from "./ConfigurationState.js";
import type { FoldOutcome } from "./FoldOutcome.js";

/** The state after a record, and what the fold made of the record. */
export type FoldStep = {
    readonly state: ConfigurationState;
    readonly outcome: FoldOutcome;
};
