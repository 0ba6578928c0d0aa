import type { Millis, Ran } from "@azureshunt/core";

/** What is known of one request between its tries. */
export type RequestState = {
    readonly repeatable: boolean;
    /** When its first piece must have been begun. */
    readonly deadline: Millis;
    /** Tries begun so far. */
    readonly tries: number;
    /** Position of the first piece that the caller lacks; 0 while it has received nothing. */
    readonly next: number;
    /** Whether any try so far may have run. */
    readonly ran: Ran;
};
