import type { Millis } from "@azureshunt/core";

const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 10_000;

/**
 * Tells when an endpoint that answers probes may get work again. After a single failure it may at once; one that goes on
 * failing requests while its probes succeed is left alone for longer each time.
 *
 * @param failures times of failures within the window, the oldest first
 */
export function retryAt(failures: readonly Millis[]): Millis {
    const last = failures.at(-1);
    if (last === undefined || failures.length === 1) {
        return -Infinity;
    }
    return last + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures.length - 2));
}
