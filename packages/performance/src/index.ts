/** How fast endpoints are, as a VM learns from its own tries, and when their answers start. */
export type { EndpointFigures } from "./EndpointFigures.js";
export { initialService } from "./initialService.js";
export type { Observation } from "./Observation.js";
export { overdueOf } from "./overdueOf.js";
export type { PerformanceModel } from "./PerformanceModel.js";
export { predict } from "./predict.js";
export type { Prediction } from "./Prediction.js";
export type { ServiceFigures } from "./ServiceFigures.js";
export { speedOf } from "./speedOf.js";
export type { StartLoad } from "./StartLoad.js";
export { stepModel } from "./stepModel.js";
export { stepSpread } from "./stepSpread.js";
