import type { ServerResponse } from "node:http";

/**
 * Cuts an answer off that has begun, so that it cannot pass for complete.
 *
 * A caller that speaks HTTP/1.0 gets no chunks, and takes the close of its connection for the end of an answer without
 * a length. To prevent this, the connection is reset, unless the last chunk that is missing shows the cut, or nothing is
 * missing: a reset discards what the system has yet to send.
 */
export function cutAnswer(res: ServerResponse): void {
    if (!res.chunkedEncoding && !res.writableFinished) {
        res.socket?.resetAndDestroy();
    }
    res.destroy();
}
