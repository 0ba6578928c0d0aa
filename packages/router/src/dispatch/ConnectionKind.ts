/**
 * The connection that a call used: none was open, one was opened for it over an own link or through a peer, or one was
 * kept from an earlier call.
 */
export type ConnectionKind = "none" | "new" | "tunnel" | "kept";
