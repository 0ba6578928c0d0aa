import type { Clock, Millis, ModelName } from "@azureshunt/core";

import type { EndpointTable } from "../placement/EndpointTable.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { EngineReport } from "../ports/EngineReport.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { EngineCalls } from "./EngineCalls.js";
import type { EngineOrder } from "./EngineOrder.js";
import { isOfLaterStart } from "./isOfLaterStart.js";
import { observeReport } from "./observeReport.js";
import { orderTiming } from "./orderTiming.js";
import { requestReport } from "./requestReport.js";

type FollowedOrder = {
    /** Entry of the incarnation that the order was sent to. */
    readonly entry: EndpointEntry;
    readonly model: ModelName;
    readonly version: number;
    readonly issuedAt: Millis;
    /** Number of orders that the engine was assumed to have accepted before this one. */
    readonly ordersBefore: number;
};

type FollowParts = {
    readonly clock: Clock;
    readonly endpointTable: EndpointTable;
    readonly calls: EngineCalls;
    readonly wire: EndpointWire;
};

/**
 * Requests an engine's report repeatedly until the engine holds the ordered weights, shows that it did not accept the
 * order or has started again, or has another order in place of this one.
 *
 * A report on a void order may arrive when the next order has already been accepted. If that next order were then
 * considered ended, the engine would be ordered again and load the same weights twice. To prevent this, a report only
 * ever ends the order that it was requested for.
 *
 * @param onEnd called once, with the engine's last report; `undefined` if that report was not received
 */
export async function followOrder(
    parts: FollowParts,
    order: FollowedOrder,
    onEnd: (report: EngineReport | undefined) => void,
): Promise<void> {
    const { clock, endpointTable, calls, wire } = parts;
    const { model, version, issuedAt, ordersBefore } = order;
    const endpoint = order.entry.name;
    const address = endpointTable.entryOf(endpoint)?.address;
    const report = address === undefined
        ? undefined
        : (await requestReport(calls, wire, address)).toMaybe().extract();
    const isOver = report !== undefined && isOfLaterStart(report, order.entry);
    const state = isOver ? undefined : report;
    const seen = state?.versions.get(model);
    const currentOrder = (): EngineOrder | undefined =>
        endpointTable.engines(model).find(engine => engine.endpoint === endpoint)?.order;
    if (state !== undefined) {
        observeReport(endpointTable, endpoint, state);
    }
    if (state?.isBusy === true && currentOrder()?.issuedAt === issuedAt) {
        endpointTable.recordOrder(endpoint, { model, version, issuedAt, seenAt: clock.now(), isOwn: true });
    }
    // The engine accepted other orders than expected, and none is in progress: this order is void, and another one may
    // follow.
    const isVoid = state !== undefined && !state.isBusy && (seen ?? 0) < version && state.ordersTaken !== ordersBefore;
    if (isOver || isVoid) {
        endpointTable.orderEnded(endpoint, issuedAt);
    }
    if (currentOrder()?.issuedAt !== issuedAt) {
        onEnd(report);
        return;
    }
    calls.schedule(orderTiming.nextReportMs, () => void followOrder(parts, order, onEnd));
}
