import type { Millis, Ran } from "@azureshunt/core";

/** State of one request between its tries. */
export type RequestState = {
    readonly repeatable: boolean;
    /** Time by which its answer must have started; not applied once the caller has received a piece. */
    readonly deadline: Millis;
    readonly tries: number;
    /** Position of the first piece that the caller has not received; 0 until it has received one. */
    readonly next: number;
    /** Whether any try so far has run at an endpoint. */
    readonly ran: Ran;
};
