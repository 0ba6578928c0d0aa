import type { Answer } from "./Answer.js";
import type { ErrorKind } from "./ErrorKind.js";
import type { Ran } from "./Ran.js";

const answer = (
    status: number,
    ran: Ran,
    retryAfterSeconds: number | undefined,
    retried: boolean,
    type: Answer["type"],
    message: string,
): Answer => ({ status, ran, retryAfterSeconds, retried, type, message });

const INVALID = "invalid_request_error";

const ANSWERS: Readonly<Record<ErrorKind, Answer>> = {
    "bad-request": answer(400, "no", undefined, false, INVALID, "The request is malformed."),
    "body-too-large": answer(413, "no", undefined, false, INVALID, "The body is larger than this daemon accepts."),
    "headers-too-large": answer(
        431,
        "no",
        undefined,
        false,
        INVALID,
        "The headers are larger than this daemon accepts.",
    ),
    "headers-too-slow": answer(408, "no", 1, false, INVALID, "The request's headers took too long to come."),
    "unsupported-media-type": answer(
        415,
        "no",
        undefined,
        false,
        INVALID,
        "The content type must be application/json.",
    ),
    "not-found": answer(404, "no", undefined, false, INVALID, "There is nothing at this path."),
    "method-not-allowed": answer(405, "no", undefined, false, INVALID, "This path does not take this method."),
    "unknown-model": answer(404, "no", undefined, false, INVALID, "No such model is in service."),
    "unknown-service": answer(404, "no", undefined, false, INVALID, "No such service is in service."),
    "missing-key": answer(401, "no", undefined, false, "authentication_error", "Send a key as a bearer token."),
    "unknown-key": answer(401, "no", undefined, false, "authentication_error", "The key is not valid."),
    "withdrawn-key": answer(401, "no", undefined, false, "authentication_error", "The key has been withdrawn."),
    "not-allowed": answer(403, "no", undefined, false, "permission_error", "The organisation may not use this."),
    "over-rate": answer(429, "no", 1, false, "rate_limit_error", "The organisation has used up its rate."),
    "over-burst": answer(
        413,
        "no",
        undefined,
        false,
        INVALID,
        "The request needs more tokens than the organisation's burst.",
    ),
    "allowance-unreachable": answer(
        503,
        "no",
        2,
        false,
        "rate_limit_error",
        "The tokens left to the organisation stand in a failure domain that cannot be reached.",
    ),
    "no-endpoint": answer(503, "no", 1, true, "api_error", "No endpoint that serves this is in reach."),
    "overloaded": answer(503, "no", 1, true, "api_error", "All endpoints that serve this are full."),
    "deadline-exceeded": answer(504, "no", 1, false, "api_error", "The request could not be started in time."),
    "endpoint-failed": answer(
        502,
        "maybe",
        1,
        true,
        "api_error",
        "The endpoint failed before its answer was complete.",
    ),
    "stream-broken": answer(502, "yes", 1, true, "api_error", "The stream broke off and could not be completed."),
    "answer-lost": answer(
        502,
        "maybe",
        undefined,
        false,
        "api_error",
        "The answer was lost; the request may have run.",
    ),
    "request-crashes-endpoints": answer(
        422,
        "maybe",
        undefined,
        false,
        INVALID,
        "This request crashed the endpoints that ran it and will not be tried again.",
    ),
    "request-quarantined": answer(
        503,
        "no",
        60,
        false,
        "api_error",
        "Requests like this one crashed the endpoints that ran them; it was not run.",
    ),
    "intent-running": answer(409, "maybe", 1, false, INVALID, "A request with this idempotency key is running."),
    "intent-outcome-unknown": answer(
        409,
        "maybe",
        undefined,
        false,
        "api_error",
        "A request with this idempotency key may have run; its outcome is not known.",
    ),
    "intent-key-reused": answer(
        422,
        "no",
        undefined,
        false,
        INVALID,
        "The idempotency key belongs to another request.",
    ),
    "intent-window-lost": answer(
        409,
        "no",
        undefined,
        false,
        "api_error",
        "It cannot be vouched for that this idempotency key has not run; use a new one if it has not.",
    ),
    "log-unavailable": answer(503, "no", 2, false, "api_error", "The platform's log cannot be reached."),
    "no-configuration": answer(503, "no", 1, false, "api_error", "This daemon has no configuration yet."),
    "configuration-too-old": answer(
        503,
        "no",
        2,
        false,
        "api_error",
        "The configuration is older than the organisation allows.",
    ),
    "shutting-down": answer(503, "no", 1, false, "api_error", "This daemon is shutting down."),
    "caller-gone": answer(499, "maybe", undefined, false, "api_error", "The caller closed the connection."),
    "internal": answer(500, "maybe", 1, false, "api_error", "The daemon failed."),
};

/** Returns the answer that the caller gets for a kind of error. */
export function answerOf(kind: ErrorKind): Answer {
    return ANSWERS[kind];
}
