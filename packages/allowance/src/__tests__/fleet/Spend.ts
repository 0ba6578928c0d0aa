/** Tokens used at a moment, and the like for refusals. */
export type Spend = { readonly at: number; readonly tokens: number; };
