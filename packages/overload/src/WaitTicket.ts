import type { Millis } from "@azureshunt/core";

/** When a request began to wait, and until when it may; kept while it is placed again and again. */
export type WaitTicket = {
    readonly since: Millis;
    readonly leaveAt: Millis;
};
