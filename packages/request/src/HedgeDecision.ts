import type { Millis } from "@azureshunt/core";

import type { RetryBudget } from "./RetryBudget.js";

/** `hedge`: begin a second try and cancel whichever is slower to its first piece; `wait`: ask again then. */
export type HedgeDecision =
    | { readonly kind: "hedge"; readonly budget: RetryBudget; }
    | { readonly kind: "wait"; readonly until: Millis; }
    | { readonly kind: "never"; };
