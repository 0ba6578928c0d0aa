/** Which endpoints get no requests of a VM, because they have said that they leave. */
export { availabilityAt } from "./availabilityAt.js";
export type { AvailabilityRow } from "./AvailabilityRow.js";
export { availabilityTiming } from "./availabilityTiming.js";
export type { EndpointAvailability } from "./EndpointAvailability.js";
export { initialAvailability } from "./initialAvailability.js";
export { recordLeaving } from "./recordLeaving.js";
