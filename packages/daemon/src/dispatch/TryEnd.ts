import type { TryFailure } from "@azureshunt/request";

/** How a try failed. `cancelled`: the caller is gone. */
export type TryEnd = TryFailure | { readonly kind: "cancelled"; };
