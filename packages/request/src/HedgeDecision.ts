import type { Millis } from "@azureshunt/core";

import type { RetryBudget } from "./RetryBudget.js";

/**
 * Whether to begin a second try beside a slow first one. `hedge`: begin it, and cancel the one whose first piece comes
 * later; `wait`: decide again at `until`.
 */
export type HedgeDecision =
    | { readonly kind: "hedge"; readonly budget: RetryBudget; }
    | { readonly kind: "wait"; readonly until: Millis; }
    | { readonly kind: "never"; };
