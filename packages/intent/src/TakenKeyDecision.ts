import type { IntentOutcome } from "./IntentOutcome.js";

/** What a request is told whose key another intent holds. `retry`: the key becomes free; read the log and look again. */
export type TakenVerdict =
    | { readonly kind: "running" | "retry"; }
    | { readonly kind: "ended"; readonly outcome: IntentOutcome; };
