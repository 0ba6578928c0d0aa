import type { IncomingMessage } from "node:http";

import type { OpenedCall } from "./OpenedCall.js";

/** Whether the answer's length is known from its headers or chunks, and not only from the end of its connection. */
const isFramed = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/** Returns whether an answer that has just ended is complete. Must be called in the handler of its `end` event. */
export function isComplete({ res, isBroken, wasReset }: Extract<OpenedCall, { kind: "head"; }>): boolean {
    return res.complete && !isBroken() && (isFramed(res) || !wasReset());
}
