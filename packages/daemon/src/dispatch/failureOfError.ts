import type { TryEnd } from "./TryEnd.js";

const TIMEOUT_CODES: readonly unknown[] = ["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"];

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** Returns whether an error happened before the connection was open, so no byte of the request can have been sent. */
const isUnreached = (err: unknown): boolean =>
    codeOf(err) === "UND_ERR_CONNECT_TIMEOUT"
    || (err instanceof Error && "syscall" in err && err.syscall === "connect");

/**
 * Returns how a try failed, from the error of the call to the endpoint. Unless the error proves that nothing was sent, the
 * request counts as sent.
 *
 * @param signal aborted when the caller disconnects
 */
export function failureOfError(err: unknown, signal: AbortSignal | undefined): TryEnd {
    if (signal?.aborted === true) {
        return { kind: "cancelled" };
    }
    if (isUnreached(err)) {
        return { kind: "unreached" };
    }
    return { kind: TIMEOUT_CODES.includes(codeOf(err)) ? "silent" : "died" };
}
