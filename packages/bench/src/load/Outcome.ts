import type { Arrival } from "../workload/Arrival.js";

/** The result of one request as seen by its caller. */
export type Outcome = {
    readonly arrival: Arrival;
    /** Delay of the sending after its intended time. A large value means that the load generator was too slow. */
    readonly sentLateMs: number;
    /** From the intended time of sending to the first token or a plain service's answer; `undefined` if none came. */
    readonly firstMs: number | undefined;
    /** From the intended time of sending to the end. */
    readonly endMs: number;
    /** HTTP status; 0 if no answer came. */
    readonly status: number;
    /** `code` of the error body, or of the error event that ended a stream. */
    readonly errorCode: string | undefined;
    /** `ran` of the error: whether the daemon reports that the request ran; `undefined` if there is no error. */
    readonly ran: string | undefined;
    /** Whether the answer is complete, with every position once and in order. */
    readonly complete: boolean;
    /** Tokens received. */
    readonly tokens: number;
};
