import type { ServerResponse } from "node:http";

import type { Refusal, RequestId } from "@azureshunt/core";
import { answerOf } from "@azureshunt/core";

import { discardBody } from "@azureshunt/http";
import { errorBody } from "./errorBody.js";

/**
 * Answers a request with a refusal. If a streamed answer has already started, the refusal is sent as an `error` event, so
 * that the caller cannot mistake the stream for complete.
 */
export function sendRefusal(res: ServerResponse, id: RequestId, refusal: Refusal): void {
    const body = JSON.stringify(errorBody(id, refusal));
    if (res.headersSent) {
        res.end(`event: error\ndata: ${body}\n\n`);
        return;
    }
    if (refusal.retryAfterSeconds !== undefined) {
        res.setHeader("retry-after", String(Math.max(1, Math.ceil(refusal.retryAfterSeconds))));
    }
    res.setHeader("x-request-id", id);
    res.setHeader("content-type", "application/json");
    res.statusCode = answerOf(refusal.kind).status;
    if (res.req.complete) {
        res.end(body);
        return;
    }
    // The unread rest of the body would be parsed as the next request on this connection.
    res.setHeader("connection", "close");
    discardBody(res.req, () => res.end(body));
}
