import type { Millis } from "@azureshunt/core";

import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";

/** What the decision to hedge a request rests on. */
export type HedgeQuestion = {
    readonly request: RequestState;
    /** When the running try was dispatched. */
    readonly dispatchedAt: Millis;
    /** Time to the first token that was estimated for it. */
    readonly estimate: Millis;
    /** Whether a second try runs already. */
    readonly hedged: boolean;
    readonly budget: RetryBudget;
};
