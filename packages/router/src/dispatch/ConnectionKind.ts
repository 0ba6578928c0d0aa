/** The connection that a call used: none was open, one was opened for it, or one was kept from an earlier call. */
export type ConnectionKind = "none" | "new" | "kept";
