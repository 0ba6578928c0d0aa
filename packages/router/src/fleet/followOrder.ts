import type { Clock, EndpointName, ModelName } from "@azureshunt/core";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import { orderTiming } from "./orderTiming.js";

type FollowedOrder = {
    readonly endpoint: EndpointName;
    readonly model: ModelName;
    readonly version: number;
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
 * Asks an engine for its report until it holds the ordered weights, or until it shows that it has not taken the order.
 *
 * @param onEnd told once, with the version that the engine showed last
 */
export async function followOrder(
    parts: FollowParts,
    order: FollowedOrder,
    onEnd: (seen: number | undefined) => void,
): Promise<void> {
    const { clock, book, agent, wire } = parts;
    const { endpoint, model, version, ordersBefore } = order;
    const entry = book.entryOf(endpoint);
    const res = entry === undefined
        ? undefined
        : await callOnce(agent, entry.address, wire.reportCall, orderTiming.answerMs);
    const state = res?.kind === "answer" && res.status === OK ? wire.decodeReport(res.body) : undefined;
    const seen = state?.versions.get(model);
    if (seen !== undefined) {
        book.sawWeights(endpoint, seen, state?.ordersTaken);
    }
    if (state?.isBusy === true) {
        book.ordered(endpoint, { version, sentAt: clock.now(), isOwn: true });
    }
    // Another count than the order expected, and nothing under way: the order is void and was not the last word.
    if (state !== undefined && !state.isBusy && (seen ?? 0) < version && state.ordersTaken !== ordersBefore) {
        book.ordered(endpoint, undefined);
    }
    const current = book.engines(model).find(engine => engine.endpoint === endpoint)?.order;
    if (current === undefined || current.version !== version) {
        onEnd(seen);
        return;
    }
    setTimeout(() => void followOrder(parts, order, onEnd), orderTiming.nextReportMs);
}
