import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { EndpointHead } from "../ports/EndpointHead.js";
import { isServerError } from "./isServerError.js";
import type { ServedRequest } from "./ServedRequest.js";

const MISDIRECTED = 421;

type HeadVerdict = "forward" | TryOutcome;

/**
 * Decides by the head of an answer whether it is forwarded to the caller, or how the try failed.
 *
 * An answer to another request may arrive late on the connection, or an intermediary may answer in place of the
 * endpoint. To prevent such an answer from reaching the caller, an answer counts only if it names this request, and a
 * success only with the endpoint's seal.
 */
export function judgeHead(head: EndpointHead, served: Pick<ServedRequest, "caller">): HeadVerdict {
    if (head.requestId !== undefined && head.requestId !== served.caller.id) {
        return "garbled";
    }
    if (head.status === MISDIRECTED) {
        return "elsewhere";
    }
    if (head.isNotRun) {
        return "refused";
    }
    const isGenuine = head.requestId === served.caller.id && head.isSealed && !head.isEncoded;
    if (isServerError(head.status)) {
        return isGenuine ? "failed" : "garbled";
    }
    return isGenuine ? "forward" : "garbled";
}
