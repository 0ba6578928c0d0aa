/** A request was sent to an endpoint, or refused with a time to come back. */
export type ReturnEvent = { readonly kind: "sent"; } | { readonly kind: "refused"; readonly priority: number; };
