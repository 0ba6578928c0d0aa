import type { IntentEntry } from "./IntentEntry.js";
import type { IntentOutcome } from "./IntentOutcome.js";

/**
 * How a request stands towards its key.
 *
 * - `free`: no intent holds the key.
 * - `owner`: the request's own intent holds it.
 * - `taken`: another intent holds it, and only its writer knows more.
 * - `ended`: the request has had this outcome.
 * - `reused`: the key holds another request.
 * - `window-lost`: the log cannot tell whether the key was used within the window.
 */
export type IntentStanding =
    | { readonly kind: "free" | "owner" | "reused" | "window-lost"; }
    | { readonly kind: "taken"; readonly entry: IntentEntry; }
    | { readonly kind: "ended"; readonly outcome: IntentOutcome; };
