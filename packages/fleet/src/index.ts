/** Planning of orders that make engines hold the weights that the configuration declares, and the order lease. */
export { fencingTokenForOrder } from "./fencingTokenForOrder.js";
export { isSameWeights } from "./isSameWeights.js";
export type { LeaseEffect } from "./LeaseEffect.js";
export type { LeaseEvent } from "./LeaseEvent.js";
export { LeaseRecord } from "./LeaseRecord.js";
export type { LeaseState } from "./LeaseState.js";
export { newLease } from "./newLease.js";
export type { ObservedEngine } from "./ObservedEngine.js";
export { planOrders } from "./planOrders.js";
export { stepLease } from "./stepLease.js";
export { trafficVersion } from "./trafficVersion.js";
export { wantedWeights } from "./wantedWeights.js";
export type { Weights } from "./Weights.js";
export type { WeightsOrder } from "./WeightsOrder.js";
