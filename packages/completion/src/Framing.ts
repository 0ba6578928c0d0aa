/** What ends the body of an answer (RFC 9112, section 6.3): its length, its last chunk, or the end of its connection. */
export type Framing = "length" | "chunks" | "connection";
