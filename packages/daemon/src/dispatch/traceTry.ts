import type { RequestId } from "@azureshunt/core";

import type { Placement } from "../ports/Placement.js";
import type { TracePort } from "../ports/TracePort.js";

/**
 * Records the start of a try for `azureshunt why`.
 *
 * @param position position of the first token that the caller has not received; undefined for calls to plain services
 */
export function traceTry(trace: TracePort, id: RequestId, placement: Placement, position: number | undefined): void {
    const { endpoint, dispatchId, estimate } = placement;
    trace.add(id, "dispatched", { endpoint, dispatchId, estimateMs: Math.round(estimate), position });
}
