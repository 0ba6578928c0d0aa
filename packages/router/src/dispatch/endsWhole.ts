import type { IncomingMessage } from "node:http";

import type { OpenedCall } from "./OpenedCall.js";

/** Whether the answer's end is marked by anything but the end of its connection. */
const isFramed = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/** Whether an answer that has just ended is whole; to be asked in the handler of its end. */
export function endsWhole({ res, isBroken, wasReset }: Extract<OpenedCall, { kind: "head"; }>): boolean {
    return res.complete && !isBroken() && (isFramed(res) || !wasReset());
}
