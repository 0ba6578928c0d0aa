/** Digest of what may crash endpoints: of a whole request, or of a prompt part for one model of one service. */
export type SuspectKey = string & { readonly SuspectKey: unique symbol; };
