/** Tokens used, or refused, at a point in time. */
export type Spend = { readonly at: number; readonly tokens: number; };
