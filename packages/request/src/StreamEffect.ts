/**
 * What to do with a piece. `pass`: forward it to the caller. `discard`: count it and drop it, because the caller
 * already has it (`duplicate`), it belongs to another try (`crossed`), or it comes after the answer is complete or the
 * try is broken (`late`). `break`: a piece is missing; give this try up.
 */
export type StreamEffect =
    | { readonly kind: "pass"; }
    | { readonly kind: "discard"; readonly reason: "duplicate" | "crossed" | "late"; }
    | { readonly kind: "break"; };
