import type { Clock, EndpointName, Millis } from "@azureshunt/core";

import type { LeaseStatement } from "./LeaseStatement.js";
import { leaseTiming } from "./leaseTiming.js";
import { orderTiming } from "./orderTiming.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

/** The orders of this process, and of issuers before it, that may still be carried out. */
type UnansweredOrders = {
    /** Records an order that is being sent; returns a function that removes it once it is answered. */
    readonly add: (order: Omit<UnansweredOrder, "sentAt">) => () => void;
    /**
     * Adds the orders of a lease holder that issues no more, as its last record states them.
     *
     * @param writtenBefore latest time at which the record can have been written
     */
    readonly inherit: (orders: Pick<LeaseStatement, "orderable" | "unanswered">, writtenBefore: Millis) => void;
    readonly all: () => LeaseStatement["unanswered"];
    /** The orders to the endpoint, whichever incarnation of it they were meant for. */
    readonly to: (endpoint: EndpointName) => readonly UnansweredOrder[];
};

/** Creates an empty list of unanswered orders. They leave it once they can no longer be carried out. */
export function createUnansweredOrders(clock: Clock): UnansweredOrders {
    const own = new Set<UnansweredOrder>();
    const inherited = new Map<string, UnansweredOrder>();
    const isExpired = ({ sentAt }: UnansweredOrder): boolean => clock.now() - sentAt > orderTiming.maxTransitMs;
    const current = (): readonly UnansweredOrder[] => {
        [...own].filter(isExpired).forEach(order => own.delete(order));
        [...inherited].filter(([, order]) => isExpired(order)).forEach(([key]) => inherited.delete(key));
        return [...own, ...inherited.values()];
    };
    const addInherited = (order: UnansweredOrder): void => {
        const key = JSON.stringify([order.endpoint, order.bornAt, order.ordersTaken]);
        inherited.set(key, { ...order, sentAt: Math.max(order.sentAt, inherited.get(key)?.sentAt ?? -Infinity) });
    };
    return {
        add: order => {
            const added = { ...order, sentAt: clock.now() };
            own.add(added);
            return () => void own.delete(added);
        },
        inherit: ({ orderable, unanswered }, writtenBefore) => {
            // The holder may have issued orders until its claim ran out; which ones, only it knew.
            const lastSentAt = Math.min(clock.now(), writtenBefore + leaseTiming.holdMs);
            orderable.forEach(start => addInherited({ ...start, ordersTaken: undefined, sentAt: lastSentAt }));
            unanswered.forEach(({ ageMs, ...order }) => addInherited({ ...order, sentAt: writtenBefore - ageMs }));
        },
        all: () => current().map(({ sentAt, ...order }) => ({ ...order, ageMs: clock.now() - sentAt })),
        to: endpoint => current().filter(order => order.endpoint === endpoint),
    };
}
