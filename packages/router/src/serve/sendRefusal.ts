import type { ServerResponse } from "node:http";

import type { Refusal } from "@azureshunt/core";
import { cutAnswer } from "@azureshunt/http";

import type { CallerWire } from "../ports/CallerWire.js";
import { statusOf } from "./statusOf.js";

/**
 * Answers a request with a refusal. A stream that has begun is cut off instead, so that it cannot pass for complete.
 *
 * @param isClosing whether the connection is closed after this answer
 */
export function sendRefusal(wire: CallerWire, res: ServerResponse, refusal: Refusal, isClosing: boolean): void {
    if (res.headersSent || res.destroyed) {
        cutAnswer(res);
        return;
    }
    const { headers, body } = wire.encodeRefusal(refusal);
    res.writeHead(statusOf(refusal), [
        ...headers,
        "Content-Length",
        String(Buffer.byteLength(body)),
        ...(isClosing ? ["Connection", "close"] : []),
    ]);
    res.end(body);
}
