/** Logging and metrics of a process. */
export { createLoggers } from "./createLoggers.js";
export { createMetrics } from "./createMetrics.js";
export { maxDescriptors } from "./maxDescriptors.js";
export type { Metrics } from "./Metrics.js";
export { registerProcessGauges } from "./registerProcessGauges.js";
