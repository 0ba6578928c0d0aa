/** Call to the store that the lease requires. */
export type OrderLeaseEffect =
    | { readonly kind: "read"; }
    /** Append this VM's record, provided that it gets offset `at`. */
    | { readonly kind: "append"; readonly at: number; };
