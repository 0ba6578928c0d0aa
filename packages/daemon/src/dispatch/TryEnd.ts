import type { TryFailure } from "@azureshunt/request";

/** How a try failed. `cancelled`: the caller disconnected. */
export type TryEnd = TryFailure | { readonly kind: "cancelled"; };
