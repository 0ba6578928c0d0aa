import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";

import type { RequestId } from "@azureshunt/core";
import { answerOf, refusalOf } from "@azureshunt/core";
import { cutAnswer } from "@azureshunt/http";

import { errorBody } from "./errorBody.js";

/**
 * Ends an answer for which there is no time left: a caller of which nothing was sent is told that its request may have run, and
 * what has begun is cut off.
 */
export function endAnswer(res: ServerResponse): void {
    if (res.headersSent || res.destroyed) {
        cutAnswer(res);
        return;
    }
    const refusal = refusalOf("answer-lost");
    const id = randomUUID() as string as RequestId;
    res.writeHead(answerOf(refusal.kind).status, {
        "content-type": "application/json",
        "x-request-id": id,
        "connection": "close",
    });
    res.end(JSON.stringify(errorBody(id, refusal)));
}
