/**
 * Why a call came to nothing.
 *
 * - `unreachable`: the store did nothing.
 * - `lost`: no answer came; a write may have taken effect, or may yet do so.
 * - `expired`: the records asked for are no longer kept; the oldest is at `first`.
 * - `moved`: the topic did not end where the writer thought.
 */
export type StoreFailure =
    | { readonly kind: "unreachable" | "lost" | "moved"; }
    | { readonly kind: "expired"; readonly first: number; };
