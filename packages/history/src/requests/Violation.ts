/** A rule that a history breaks, and where. */
export type Violation = { readonly rule: string; readonly detail: string; };
