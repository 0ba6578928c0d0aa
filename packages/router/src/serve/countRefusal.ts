import type { ErrorKind } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";

/** Counts a request that is refused, by its reason. */
export function countRefusal(metrics: Pick<Metrics, "count">, reason: ErrorKind): void {
    metrics.count("azureshunt_refusals_total", "Requests that were refused, by reason.", { reason });
}
