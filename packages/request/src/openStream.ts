import type { DispatchId } from "@azureshunt/core";

import type { StreamState } from "./StreamState.js";

/**
 * Starts an answer, or continues it with a further try.
 *
 * @param dispatchId the new try
 * @param next position of the first piece that the caller lacks
 */
export function openStream(dispatchId: DispatchId, next = 0): StreamState {
    return { dispatchId, next, phase: "open" };
}
