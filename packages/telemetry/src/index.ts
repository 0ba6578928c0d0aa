/** Logging and metrics of a process. */
export { createLoggers } from "./createLoggers.js";
export { createMetrics } from "./createMetrics.js";
export type { Metrics } from "./Metrics.js";
export { registerProcessGauges } from "./registerProcessGauges.js";
