import type { Millis } from "@azureshunt/core";

import type { EndpointFigures } from "./EndpointFigures.js";

/** A try whose answer has not started. */
type PendingTry = { readonly sentAt: Millis; readonly predictedMs: Millis; };

/** Ratio and time beyond the prediction from which a try is overdue; predictions are often off by less. */
const MIN_RATIO = 2;
const MIN_EXCESS_MS = 50;

/**
 * Returns by what factor the tries at an endpoint have outlasted their predictions, 1 if none is overdue.
 *
 * The answers of an endpoint that has become slow arrive late themselves, and until then it looks as fast as before. A
 * try counts only if no later one was answered: otherwise it is that request which waits, not the endpoint that is slow.
 */
export function overdueOf(
    pending: readonly PendingTry[],
    endpoint: Pick<EndpointFigures, "sentAt"> | undefined,
    now: Millis,
): number {
    const newestAnswered = endpoint?.sentAt ?? -Infinity;
    return pending.reduce((most, { sentAt, predictedMs }) => {
        const elapsedMs = now - sentAt;
        const ratio = elapsedMs / Math.max(1, predictedMs);
        const isOverdue = sentAt > newestAnswered && ratio > MIN_RATIO && elapsedMs - predictedMs > MIN_EXCESS_MS;
        return isOverdue ? Math.max(most, ratio) : most;
    }, 1);
}
