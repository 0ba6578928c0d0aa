import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";

import type { ErrorKind, RequestId } from "@azureshunt/core";
import { answerOf, refusalOf } from "@azureshunt/core";
import { cutAnswer } from "@azureshunt/http";

import { errorBody } from "./errorBody.js";

/**
 * Ends an answer for which there is no time left: what has begun is cut off.
 *
 * @param kind what callers to whom nothing was sent are told
 */
export function endAnswer(res: ServerResponse, kind: Extract<ErrorKind, "answer-lost" | "shutting-down">): void {
    if (res.writableEnded) {
        return;
    }
    if (res.headersSent || res.destroyed) {
        cutAnswer(res);
        return;
    }
    const refusal = refusalOf(kind);
    const id = randomUUID() as string as RequestId;
    res.writeHead(answerOf(refusal.kind).status, {
        "content-type": "application/json",
        "x-request-id": id,
        "connection": "close",
    });
    res.end(JSON.stringify(errorBody(id, refusal)));
}
