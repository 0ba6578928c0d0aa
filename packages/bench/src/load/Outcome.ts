import type { Arrival } from "../workload/Arrival.js";

/** What became of one request, as its caller saw it. Times are milliseconds. */
export type Outcome = {
    readonly arrival: Arrival;
    /** By how much the request left late; a large value means that the load generator was too slow. */
    readonly sentLateMs: number;
    /** From the intended time to the first token, or to the answer of a plain service; undefined without one. */
    readonly firstMs: number | undefined;
    /** From the intended time to the end. */
    readonly endMs: number;
    /** 0 when no answer came at all. */
    readonly status: number;
    /** `code` of the error body, or of the error event that ended a stream. */
    readonly errorCode: string | undefined;
    /** Whether the daemon says that the request ran; undefined without an error. */
    readonly ran: string | undefined;
    /** Whether the whole answer came, with every position once and in order. */
    readonly complete: boolean;
    /** Tokens received. */
    readonly tokens: number;
};
