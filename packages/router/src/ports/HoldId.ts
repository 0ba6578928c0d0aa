/** Id that an engine gives a place which it keeps for one request. */
export type HoldId = string & { readonly __brand: "HoldId"; };
