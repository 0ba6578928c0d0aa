import type { Millis } from "@azureshunt/core";

import { afterPendingReads } from "./afterPendingReads.js";

/**
 * Returns a signal that aborts as `AbortSignal.timeout` does, but only once what has arrived by then has been read. It does not
 * keep the process running either.
 */
export function timeoutSignal(ms: Millis): AbortSignal {
    const controller = new AbortController();
    const abort = (): void => controller.abort(new DOMException("The operation timed out.", "TimeoutError"));
    setTimeout(() => afterPendingReads(abort), ms).unref();
    return controller.signal;
}
