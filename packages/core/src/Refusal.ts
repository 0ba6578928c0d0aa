import type { ErrorKind } from "./ErrorKind.js";
import type { Ran } from "./Ran.js";

/** Reason for not serving a request. Created by `refusalOf`. */
export type Refusal = {
    readonly kind: ErrorKind;
    /** Detail for the caller; never contains a key or part of a prompt. */
    readonly detail: string | undefined;
    /** From `answerOf`, unless the daemon knows a more accurate value. */
    readonly retryAfterSeconds: number | undefined;
    /** From `answerOf`, unless the caller of `refusalOf` knows more. */
    readonly ran: Ran;
};
