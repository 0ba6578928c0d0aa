import type { ErrorKind } from "./ErrorKind.js";
import type { Ran } from "./Ran.js";

/** Why a request is not served. Built by `refusalOf`. */
export type Refusal = {
    readonly kind: ErrorKind;
    /** Detail for the caller; never holds a key or part of a prompt. */
    readonly detail: string | undefined;
    /** Overrides the table's value, where the daemon knows a truer one. */
    readonly retryAfterSeconds: number | undefined;
    /** Whether it ran; from the table unless the caller of `refusalOf` knows better. */
    readonly ran: Ran;
};
