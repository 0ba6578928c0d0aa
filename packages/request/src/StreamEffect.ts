/**
 * What is to be done with a piece. `pass`: send it to the caller. `discard`: count it and drop it, because it stands
 * there already (`duplicate`), belongs to another try (`crossed`) or comes after the end (`late`). `break`: a piece is
 * missing; give this try up.
 */
export type StreamEffect =
    | { readonly kind: "pass"; }
    | { readonly kind: "discard"; readonly reason: "duplicate" | "crossed" | "late"; }
    | { readonly kind: "break"; };
