import type { RequestId } from "@azureshunt/core";

import type { Placement } from "../ports/Placement.js";
import type { TracePort } from "../ports/TracePort.js";

/**
 * Notes for `azureshunt why` that a try begins.
 *
 * @param position first token that the caller lacks; undefined for calls that are no streams
 */
export function traceTry(trace: TracePort, id: RequestId, placement: Placement, position: number | undefined): void {
    const { endpoint, dispatchId, estimate } = placement;
    trace.add(id, "dispatched", { endpoint, dispatchId, estimateMs: Math.round(estimate), position });
}
