import type { IntentOutcome } from "./IntentOutcome.js";

/**
 * How to answer a request whose key another intent owns. `running`: that intent's request is still running. `retry`:
 * the key is about to become free; read the log and check again. `ended`: answer with the outcome.
 */
export type TakenKeyDecision =
    | { readonly kind: "running" | "retry"; }
    | { readonly kind: "ended"; readonly outcome: IntentOutcome; };
