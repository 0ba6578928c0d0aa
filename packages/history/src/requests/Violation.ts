/** Something in a history that must not be. */
export type Violation = { readonly rule: string; readonly detail: string; };
