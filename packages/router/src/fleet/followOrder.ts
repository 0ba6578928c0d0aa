import type { Clock, EndpointName, Millis, ModelName } from "@azureshunt/core";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { EngineOrder } from "./EngineOrder.js";
import { orderTiming } from "./orderTiming.js";

type FollowedOrder = {
    readonly endpoint: EndpointName;
    readonly model: ModelName;
    readonly version: number;
    readonly givenAt: Millis;
    /** Orders that the engine was thought to have accepted before this one. */
    readonly ordersBefore: number;
};

type FollowParts = {
    readonly clock: Clock;
    readonly book: EndpointBook;
    readonly agent: EndpointAgent;
    readonly wire: EndpointWire;
};

const OK = 200;

/**
 * Asks an engine for its report until it holds the ordered weights, until it shows that it has not taken the order, or
 * until another order has taken this one's place.
 *
 * Failure: a report on an order that was void comes when the next one has already been accepted. Were that one taken for
 * over, the engine would be ordered again, and load the same weights twice. Guard: a report speaks of its own order alone.
 *
 * @param onEnd told once, with the version that the engine showed last
 */
export async function followOrder(
    parts: FollowParts,
    order: FollowedOrder,
    onEnd: (seen: number | undefined) => void,
): Promise<void> {
    const { clock, book, agent, wire } = parts;
    const { endpoint, model, version, givenAt, ordersBefore } = order;
    const entry = book.entryOf(endpoint);
    const res = entry === undefined
        ? undefined
        : await callOnce(agent, entry.address, wire.reportCall, orderTiming.answerMs);
    const state = res?.kind === "answer" && res.status === OK ? wire.decodeReport(res.body) : undefined;
    const seen = state?.versions.get(model);
    const currentOrder = (): EngineOrder | undefined =>
        book.engines(model).find(engine => engine.endpoint === endpoint)?.order;
    if (seen !== undefined) {
        book.sawWeights(endpoint, seen, state?.ordersTaken);
    }
    if (state?.isBusy === true && currentOrder()?.givenAt === givenAt) {
        book.ordered(endpoint, { version, givenAt, seenAt: clock.now(), isOwn: true });
    }
    // Another count than the order expected, and nothing under way: the order is void and was not the last word.
    if (state !== undefined && !state.isBusy && (seen ?? 0) < version && state.ordersTaken !== ordersBefore) {
        book.orderOver(endpoint, givenAt);
    }
    if (currentOrder()?.givenAt !== givenAt) {
        onEnd(seen);
        return;
    }
    setTimeout(() => void followOrder(parts, order, onEnd), orderTiming.nextReportMs);
}
