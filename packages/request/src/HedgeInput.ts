import type { Millis } from "@azureshunt/core";

import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";

/** Input of `decideHedge`. */
export type HedgeInput = {
    readonly request: RequestState;
    /** When the first try was dispatched. */
    readonly dispatchedAt: Millis;
    /** Estimated time from dispatch to the first token. */
    readonly estimatedFirstTokenMs: Millis;
    /** Whether a second try is already running. */
    readonly isHedged: boolean;
    readonly budget: RetryBudget;
};
