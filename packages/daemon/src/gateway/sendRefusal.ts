import type { ServerResponse } from "node:http";

import type { Refusal, RequestId } from "@azureshunt/core";
import { answerOf } from "@azureshunt/core";

import { discardBody } from "@azureshunt/http";
import { errorBody } from "./errorBody.js";

/**
 * Answers a request with a refusal. Where the answer has begun as a stream, the refusal goes out as an `error` event,
 * so that the caller cannot take the stream for complete.
 */
export function sendRefusal(res: ServerResponse, id: RequestId, refused: Refusal): void {
    const body = JSON.stringify(errorBody(id, refused));
    if (res.headersSent) {
        res.end(`event: error\ndata: ${body}\n\n`);
        return;
    }
    if (refused.retryAfterSeconds !== undefined) {
        res.setHeader("retry-after", String(Math.max(1, Math.ceil(refused.retryAfterSeconds))));
    }
    res.setHeader("x-request-id", id);
    res.setHeader("content-type", "application/json");
    res.statusCode = answerOf(refused.kind).status;
    if (res.req.complete) {
        res.end(body);
        return;
    }
    // A body that was not read to its end would be taken for the next request on this connection.
    res.setHeader("connection", "close");
    discardBody(res.req, () => res.end(body));
}
