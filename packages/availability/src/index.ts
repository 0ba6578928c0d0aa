/** Which endpoints get no requests of a VM, because they have said that they leave, asked for a pause, or refused. */
export { availabilityAt } from "./availabilityAt.js";
export type { AvailabilityRow } from "./AvailabilityRow.js";
export { availabilityTiming } from "./availabilityTiming.js";
export type { EndpointAvailability } from "./EndpointAvailability.js";
export { initialAvailability } from "./initialAvailability.js";
export { learnPause } from "./learnPause.js";
export { pauseToTell } from "./pauseToTell.js";
export { recordLeaving } from "./recordLeaving.js";
export { recordRefusal } from "./recordRefusal.js";
export { recordSent } from "./recordSent.js";
export { recordServed } from "./recordServed.js";
export { returnAfterMs } from "./returnAfterMs.js";
