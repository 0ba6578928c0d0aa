import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointShare } from "../peers/EndpointShare.js";
import type { InFlight } from "./InFlight.js";

/** Requests running and waiting at an endpoint. */
type Load = EndpointShare & {
    /** Requests there of this VM alone. */
    readonly ownRunning: number;
    /** Time without activity beyond the usual gap, while this VM expects some. */
    readonly silentMs: Millis;
};

/** Longest usual time without activity of a working endpoint: it may prefill several prompts in a row. */
const MAX_USUAL_GAP_MS = 400;

const sumOf = (items: readonly InFlight[], size: (item: InFlight) => Tokens): Tokens =>
    items.reduce((sum, item) => sum + size(item), 0);

/**
 * Computes how long an endpoint has been silent.
 *
 * If an endpoint stops responding and only requests are counted, it looks idle and attracts all new requests. Symptom:
 * streams stop first, as their events come every few milliseconds. An endpoint that is merely slow still shows
 * activity.
 */
const silentMsOf = (inFlight: readonly InFlight[], lastActivityAt: Millis, now: Millis): Millis => {
    const due = inFlight.filter(each => each.isAnswering || now > each.expectedAt);
    const oldest = due.reduce((first, each) => Math.min(first, each.sentAt), Infinity);
    return due.length === 0 ? 0 : Math.max(0, now - Math.max(lastActivityAt, oldest) - MAX_USUAL_GAP_MS);
};

/**
 * Sums up the load of an endpoint.
 *
 * @param lastActivityAt when this VM last received anything from the endpoint
 * @param others load of the peers there; undefined to count this VM's own requests alone
 */
export function loadOf(
    inFlight: readonly InFlight[],
    others: EndpointShare | undefined,
    lastActivityAt: Millis,
    now: Millis,
): Load {
    const waiting = inFlight.filter(each => !each.isAnswering);
    return {
        ownRunning: inFlight.length,
        running: inFlight.length + (others?.running ?? 0),
        waitingTokens: sumOf(waiting, each => each.missingTokens) + (others?.waitingTokens ?? 0),
        memoryTokens: sumOf(inFlight, each => each.memoryTokens) + (others?.memoryTokens ?? 0),
        silentMs: silentMsOf(inFlight, lastActivityAt, now),
    };
}
