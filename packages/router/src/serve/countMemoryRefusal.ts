import type { Metrics } from "@azureshunt/telemetry";

/** Counts a request that is refused for memory, by the bound that acted. */
export function countMemoryRefusal(metrics: Pick<Metrics, "count">, bound: string): void {
    metrics.count("azureshunt_memory_refusals_total", "Requests refused for memory, by the bound.", { bound });
}
