/**
 * State of a caller's connection. `unread`: it waits to be read. `silent`: nothing has been read from it yet. `reading`: a request is being read.
 * `answering`: at least one request has no whole answer yet. `idle`: its last request is answered. `half-closed`: this VM
 * has ended its side, and discards what still arrives.
 */
export type CallerConnectionState = "unread" | "silent" | "reading" | "answering" | "idle" | "half-closed";
