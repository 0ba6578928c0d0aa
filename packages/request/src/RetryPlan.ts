import type { Refusal } from "@azureshunt/core";

import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";

/** What follows a failed try: an error for the caller now, or a further try from a position. */
export type RetryPlan =
    | { readonly kind: "answer"; readonly refusal: Refusal; readonly reason: RetryPlanReason; }
    | {
        readonly kind: "retry";
        readonly from: number;
        readonly request: RequestState;
        readonly budget: RetryBudget;
    };

/** Why no further try is made; a label of the counter of requests given up. */
type RetryPlanReason = "final" | "not-repeatable" | "tries" | "deadline" | "budget";
