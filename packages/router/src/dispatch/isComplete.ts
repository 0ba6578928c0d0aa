import type { OpenedCall } from "./OpenedCall.js";

/** Returns whether an answer that has just ended is complete. Must be called in the handler of its `end` event. */
export function isComplete({ res, framing, connectionEnd }: Extract<OpenedCall, { kind: "head"; }>): boolean {
    const end = connectionEnd();
    return res.complete && end !== "failed" && (framing !== "connection" || end !== "reset");
}
