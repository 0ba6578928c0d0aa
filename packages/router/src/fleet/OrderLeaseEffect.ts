/** What the lease asks of the store. */
export type OrderLeaseEffect =
    | { readonly kind: "read"; }
    /** Append this VM's record, only if it gets offset `at`. */
    | { readonly kind: "append"; readonly at: number; };
