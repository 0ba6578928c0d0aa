import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointShare } from "../peers/EndpointShare.js";
import type { InFlight } from "./InFlight.js";

/** What runs and waits at an endpoint. */
type Load = EndpointShare & {
    /** How long it has given no sign of life beyond what is usual, though this VM waits for one. */
    readonly silentMs: Millis;
};

/** Longest usual pause between two signs of life of an endpoint that has work: some prompts read in a row. */
const QUIET_MS = 400;

const sumOf = (items: readonly InFlight[], size: (item: InFlight) => Tokens): Tokens =>
    items.reduce((sum, item) => sum + size(item), 0);

/**
 * Failure: an endpoint goes dark; to who counts requests alone it looks idle and draws all new ones. It shows first where
 * streams run, whose events come every few milliseconds. An endpoint that is merely slow goes on giving signs of life.
 */
const silenceOf = (inFlight: readonly InFlight[], lastSignAt: Millis, now: Millis): Millis => {
    const due = inFlight.filter(each => each.isAnswering || now > each.expectedAt);
    const oldest = due.reduce((first, each) => Math.min(first, each.sentAt), Infinity);
    return due.length === 0 ? 0 : Math.max(0, now - Math.max(lastSignAt, oldest) - QUIET_MS);
};

/**
 * Adds up what runs at an endpoint.
 *
 * @param lastSignAt when this VM last received anything from it
 * @param others what the other VMs run there; undefined to count this VM's own alone
 */
export function loadOf(
    inFlight: readonly InFlight[],
    others: EndpointShare | undefined,
    lastSignAt: Millis,
    now: Millis,
): Load {
    const waiting = inFlight.filter(each => !each.isAnswering);
    return {
        running: inFlight.length + (others?.running ?? 0),
        waitingTokens: sumOf(waiting, each => each.missingTokens) + (others?.waitingTokens ?? 0),
        memoryTokens: sumOf(inFlight, each => each.memoryTokens) + (others?.memoryTokens ?? 0),
        silentMs: silenceOf(inFlight, lastSignAt, now),
    };
}
