import type { DispatchId } from "@azureshunt/core";

import type { StreamState } from "./StreamState.js";

/**
 * Starts a streamed answer, or continues it with a retry.
 *
 * @param dispatchId the new try
 * @param next position of the first piece that the caller has not received
 */
export function openStream(dispatchId: DispatchId, next = 0): StreamState {
    return { dispatchId, next, phase: "open" };
}
