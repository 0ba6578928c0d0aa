/** Number of a request that waits, unique within one VM. */
export type WaitId = number & { readonly __brand: "WaitId"; };
