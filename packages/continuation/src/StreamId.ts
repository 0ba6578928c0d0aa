/** Identifies a stream for its organisation; see `streamIdOf`. */
export type StreamId = string & { readonly __brand: "StreamId"; };
