import type { Millis } from "@azureshunt/core";

import type { InFlight } from "./InFlight.js";

/** A request that was sent less than this after another one may have arrived before it. */
const SENT_TOGETHER_MS: Millis = 200;

/**
 * Returns whether an endpoint that begins to answer a request has let it go before one that waits there, although it would serve
 * that one first: it was sent earlier, is as urgent and needs no more memory.
 */
export function isOvertakenBy(
    waiting: Pick<InFlight, "sentAt" | "priority" | "memoryTokens" | "isAnswering">,
    answered: Pick<InFlight, "sentAt" | "priority" | "memoryTokens">,
): boolean {
    return !waiting.isAnswering
        && waiting.priority !== undefined
        && answered.priority !== undefined
        && waiting.priority <= answered.priority
        && waiting.memoryTokens <= answered.memoryTokens
        && waiting.sentAt + SENT_TOGETHER_MS <= answered.sentAt;
}
