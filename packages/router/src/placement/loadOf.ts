import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointShare } from "../peers/EndpointShare.js";
import type { InFlight } from "./InFlight.js";

/** What runs and waits at an endpoint. */
type Load = EndpointShare & {
    /** How long this VM's oldest request there is overdue with a sign of life. */
    readonly silentMs: Millis;
};

const sumOf = (items: readonly InFlight[], size: (item: InFlight) => Tokens): Tokens =>
    items.reduce((sum, item) => sum + size(item), 0);

/**
 * Adds up what runs at an endpoint.
 *
 * @param others what the other VMs run there; undefined to count this VM's own alone
 */
export function loadOf(inFlight: readonly InFlight[], others: EndpointShare | undefined, now: Millis): Load {
    const waiting = inFlight.filter(each => !each.isAnswering);
    const overdue = waiting.reduce((most, each) => Math.max(most, now - each.expectedAt), 0);
    return {
        running: inFlight.length + (others?.running ?? 0),
        waitingTokens: sumOf(waiting, each => each.missingTokens) + (others?.waitingTokens ?? 0),
        memoryTokens: sumOf(inFlight, each => each.memoryTokens) + (others?.memoryTokens ?? 0),
        silentMs: overdue,
    };
}
