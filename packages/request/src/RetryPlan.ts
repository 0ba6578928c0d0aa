import type { Refusal } from "@azureshunt/core";

import type { RequestState } from "./RequestState.js";
import type { RetryBudget } from "./RetryBudget.js";

/** What follows a failed try: an error for the caller, or a retry from the piece at position `from`. */
export type RetryPlan =
    | { readonly kind: "answer"; readonly refusal: Refusal; readonly reason: RetryPlanReason; }
    | {
        readonly kind: "retry";
        readonly from: number;
        readonly request: RequestState;
        readonly budget: RetryBudget;
    };

/** Why there is no retry; a label value of the counter of requests given up. */
type RetryPlanReason = "final" | "not-repeatable" | "tries" | "deadline" | "budget";
