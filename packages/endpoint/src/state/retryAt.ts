import type { Millis } from "@azureshunt/core";

const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;

/**
 * Returns when an endpoint that answers probes may get work again. After a single failure it may at once. If it keeps
 * failing requests while its probes succeed, the backoff doubles with each failure.
 *
 * @param failures times of failures within the window, oldest first
 * @returns `-Infinity` if the endpoint may get work at once
 */
export function retryAt(failures: readonly Millis[]): Millis {
    const last = failures.at(-1);
    if (last === undefined || failures.length === 1) {
        return -Infinity;
    }
    return last + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures.length - 2));
}
