import type { ModelName } from "@azureshunt/core";

import type { EngineOrder } from "./EngineOrder.js";

/** Whether an order may replace the weights of a model. */
export function isOrderOf(order: EngineOrder | undefined, model: ModelName): boolean {
    return order !== undefined && (order.model === undefined || order.model === model);
}
