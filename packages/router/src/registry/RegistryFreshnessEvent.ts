import type { Millis } from "@azureshunt/core";

/** An event that changes how old the known entries can be. */
export type RegistryFreshnessEvent =
    /** This VM sent a read at `requestedAt` and received the registry as it was at `asOf` or later. */
    | { readonly kind: "read"; readonly requestedAt: Millis; readonly asOf: Millis; }
    /**
     * A peer reported the digest of its entries at `asOf`, which was computed from this VM's own timestamp `stampedAt`.
     */
    | { readonly kind: "received"; readonly isSame: boolean; readonly asOf: Millis; readonly stampedAt: Millis; }
    /** The process was suspended. */
    | { readonly kind: "suspended"; readonly now: Millis; };
