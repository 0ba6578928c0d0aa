/** Counters, gauges and histograms, as `@azureshunt/telemetry` defines them. */
export type { Metrics } from "@azureshunt/telemetry";
