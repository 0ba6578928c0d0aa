import type { WaitTicket } from "@azureshunt/overload";

/** How a request left the queue of its service. */
export type WaitEnd = {
    /**
     * `released`: it is to be placed again. `refused`: it can no longer be in time, or others go before it. `cancelled`:
     * its caller has left or its deadline has passed. `closed`: the VM shuts down.
     */
    readonly kind: "released" | "refused" | "cancelled" | "closed";
    readonly ticket: WaitTicket;
};
