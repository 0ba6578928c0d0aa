/**
 * What a caller's connection is in: nothing has been read from it yet; a request is being read; at least one request
 * has no whole answer yet; its last request is answered; or this VM has ended its side and discards what still arrives.
 */
export type CallerConnectionState = "silent" | "reading" | "answering" | "idle" | "half-closed";
