/**
 * A complete answer, or none: `unreached` if no byte of the call can have arrived, `lost` if it is unknown whether the
 * call had an effect.
 */
export type CallResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: Buffer; }
    | { readonly kind: "unreached" | "lost"; };
