import type { Millis } from "@azureshunt/core";

import { orderTiming } from "./orderTiming.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

type OrderView = {
    /** Start of the engine, and the number of orders that it has accepted since. */
    readonly bornAt: number;
    readonly ordersTaken: number;
    /** When the engine was seen to start again under its name; `-Infinity` if it was not. */
    readonly restartedAt: Millis;
    /** Orders to the engine, under any of its incarnations, that may still be carried out. */
    readonly unanswered: readonly UnansweredOrder[];
    /** Since when this process knows of all orders that may still be carried out. */
    readonly ordersKnownSince: Millis;
};

/**
 * Returns from when an engine may be ordered; `-Infinity` if at once.
 *
 * An engine that starts again under its name counts accepted orders anew. An unanswered order that expects a count of
 * the start before would be accepted as soon as the new count gets there: after a newer order, and with older weights.
 * To prevent this, no order brings an engine to a count that an unanswered one expects, until that one can no longer be
 * carried out. If it is not known which count an order to an earlier start expects, none follows it until then.
 *
 * The last record of an issuer that runs an earlier version does not state its orders. Then an engine that was seen to
 * start again since they may have been sent waits for all of them. Others are ordered at once: holding all back would
 * leave the fleet on old weights after each takeover.
 */
export function orderAllowedAt(view: OrderView): Millis {
    const { bornAt, ordersTaken, restartedAt, unanswered, ordersKnownSince } = view;
    const { maxTransitMs } = orderTiming;
    const knownUntil = unanswered
        .filter(order =>
            order.ordersTaken === undefined ? order.bornAt !== bornAt : order.ordersTaken === ordersTaken + 1
        )
        .map(({ sentAt }) => sentAt + maxTransitMs);
    const othersUntil = restartedAt > ordersKnownSince - maxTransitMs ? [ordersKnownSince + maxTransitMs] : [];
    return Math.max(-Infinity, ...knownUntil, ...othersUntil);
}
