import type { IntentEntry } from "./IntentEntry.js";
import type { IntentOutcome } from "./IntentOutcome.js";

/**
 * Status of an idempotency key for a request that uses it.
 *
 * - `free`: no intent owns the key.
 * - `owner`: the request's own intent owns it.
 * - `taken`: another intent owns it, and only the process that wrote that intent knows how its request proceeds.
 * - `ended`: the request has ended with this outcome.
 * - `reused`: the key belongs to a different request.
 * - `window-lost`: the log does not show whether the key was used within the window.
 */
export type KeyStatus =
    | { readonly kind: "free" | "owner" | "reused" | "window-lost"; }
    | { readonly kind: "taken"; readonly entry: IntentEntry; }
    | { readonly kind: "ended"; readonly outcome: IntentOutcome; };
