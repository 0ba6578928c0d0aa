/**
 * Why a call to the store failed.
 *
 * - `unreachable`: the store was not reached or refused the call; the call had no effect.
 * - `lost`: no usable answer arrived; a write may have taken effect or may still do so.
 * - `expired`: the requested records are no longer kept; the oldest kept record has offset `first`.
 * - `too-large`: the answer has more records than a VM keeps.
 * - `moved`: the topic did not end at the offset that the writer expected.
 */
export type StoreFailure =
    | { readonly kind: "unreachable" | "lost" | "too-large" | "moved"; }
    | { readonly kind: "expired"; readonly first: number; };
