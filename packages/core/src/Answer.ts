import type { Ran } from "./Ran.js";

/** What a caller is told for one kind of error, and what the daemon may do about it first. */
export type Answer = {
    /** HTTP status. */
    readonly status: number;
    /** Whether the request ran: `no` is only said where no byte reached an endpoint or the endpoint refused first. */
    readonly ran: Ran;
    /** Seconds after which a repetition can succeed; undefined where repeating does not help. */
    readonly retryAfterSeconds: number | undefined;
    /** Whether the daemon may try another endpoint before it answers, for requests that may be repeated. */
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
