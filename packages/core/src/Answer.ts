import type { Ran } from "./Ran.js";

/** Answer to the caller for a kind of error, and whether the daemon may retry before it answers. */
export type Answer = {
    /** HTTP status. */
    readonly status: number;
    /** Whether the request ran. `no` only if no byte reached an endpoint or the endpoint refused before running it. */
    readonly ran: Ran;
    /** Seconds after which a retry can succeed; undefined if a retry does not help. */
    readonly retryAfterSeconds: number | undefined;
    /** Whether the daemon may try another endpoint before it answers, for requests that may run twice. */
    readonly retried: boolean;
    /** The `type` that OpenAI clients expect in the error body. */
    readonly type:
        | "invalid_request_error"
        | "authentication_error"
        | "permission_error"
        | "rate_limit_error"
        | "api_error";
    /** One sentence for the caller. */
    readonly message: string;
};
