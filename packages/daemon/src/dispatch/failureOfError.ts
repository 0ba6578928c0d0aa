import type { TryEnd } from "./TryEnd.js";

const SILENCE: readonly unknown[] = ["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"];

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** Whether an error came before a connection stood, so that no byte of the request can have reached the endpoint. */
const isUnreached = (err: unknown): boolean =>
    codeOf(err) === "UND_ERR_CONNECT_TIMEOUT"
    || (err instanceof Error && "syscall" in err && err.syscall === "connect");

/**
 * Tells from an error of a call to an endpoint how the try failed. Whatever is not surely "not sent" counts as sent.
 *
 * @param signal aborted when the caller is gone
 */
export function failureOfError(err: unknown, signal: AbortSignal | undefined): TryEnd {
    if (signal?.aborted === true) {
        return { kind: "cancelled" };
    }
    if (isUnreached(err)) {
        return { kind: "unreached" };
    }
    return { kind: SILENCE.includes(codeOf(err)) ? "silent" : "died" };
}
