import type { Framing } from "./Framing.js";

type Headers = Readonly<Partial<Record<"content-length" | "transfer-encoding", string>>>;

const ENDS_IN_CHUNKS = /(?:^|,)\s*chunked\s*$/i;

/**
 * Returns what ends the body of an answer. Other transfer codings than chunks end with the connection.
 *
 * @param headers by name in lower case
 */
export function framingOf(headers: Headers): Framing {
    const { "transfer-encoding": codings, "content-length": length } = headers;
    if (codings !== undefined) {
        return ENDS_IN_CHUNKS.test(codings) ? "chunks" : "connection";
    }
    return length === undefined ? "connection" : "length";
}
