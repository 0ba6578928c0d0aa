import type { Millis } from "@azureshunt/core";

import { orderTiming } from "./orderTiming.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

type OrderView = {
    /** Number of orders that the engine has accepted since its start. */
    readonly ordersTaken: number;
    /** When the engine was seen to start again under its name; `-Infinity` if it was not. */
    readonly restartedAt: Millis;
    /** Orders of this process to the engine, under any of its incarnations, that may still be carried out. */
    readonly unanswered: readonly UnansweredOrder[];
    /** Since when no other process can have issued orders. */
    readonly soleIssuerSince: Millis;
};

/**
 * Returns from when an engine may be ordered; `-Infinity` if at once.
 *
 * An engine that starts again under its name counts accepted orders anew. An unanswered order that expects a count of
 * the start before would be accepted as soon as the new count gets there: after a newer order, and with older weights.
 * To prevent this, no order brings an engine to a count that an unanswered one expects, until that one can no longer be
 * carried out. The unanswered orders of other processes are unknown, so an engine that was seen to start again since they
 * may have been sent waits for all of them. Engines that were not seen to do so are ordered at once: a process that has
 * just started cannot tell, and holding all of them back would leave the fleet on old weights after each takeover.
 */
export function orderAllowedAt({ ordersTaken, restartedAt, unanswered, soleIssuerSince }: OrderView): Millis {
    const { maxTransitMs } = orderTiming;
    const ownUntil = unanswered
        .filter(order => order.ordersTaken === ordersTaken + 1)
        .map(({ sentAt }) => sentAt + maxTransitMs);
    const othersUntil = restartedAt > soleIssuerSince - maxTransitMs ? [soleIssuerSince + maxTransitMs] : [];
    return Math.max(-Infinity, ...ownUntil, ...othersUntil);
}
