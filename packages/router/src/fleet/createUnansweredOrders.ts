import type { Clock, EndpointName } from "@azureshunt/core";

import { orderTiming } from "./orderTiming.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

/** The orders of this process that may still be carried out. */
type UnansweredOrders = {
    /** Records an order that is being sent; returns a function that removes it once it is answered. */
    readonly add: (endpoint: EndpointName, ordersTaken: number) => () => void;
    /** The orders to the endpoint, whichever incarnation of it they were meant for. */
    readonly to: (endpoint: EndpointName) => readonly UnansweredOrder[];
};

/** Creates an empty list of unanswered orders. They leave it once they can no longer be carried out. */
export function createUnansweredOrders(clock: Clock): UnansweredOrders {
    const orders = new Set<UnansweredOrder>();
    const dropExpired = (): void =>
        [...orders]
            .filter(({ sentAt }) => clock.now() - sentAt > orderTiming.maxTransitMs)
            .forEach(order => orders.delete(order));
    return {
        add: (endpoint, ordersTaken) => {
            dropExpired();
            const order = { endpoint, ordersTaken, sentAt: clock.now() };
            orders.add(order);
            return () => void orders.delete(order);
        },
        to: endpoint => {
            dropExpired();
            return [...orders].filter(order => order.endpoint === endpoint);
        },
    };
}
