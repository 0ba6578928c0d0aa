import type { Millis } from "@azureshunt/core";

import type { PerformanceModel } from "./PerformanceModel.js";
import { slownessAt } from "./slownessAt.js";

/** Returns an endpoint's speed relative to the median of its service; above 1 for a faster one. */
export function speedOf(model: PerformanceModel, now: Millis): number {
    return Math.exp(model.service.median - slownessAt(model, now));
}
