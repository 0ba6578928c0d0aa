/** Which requests a VM refuses while it is short of CPU time, and when refused callers may return. */
export { admits } from "./admits.js";
export type { AnswerTimes } from "./AnswerTimes.js";
export { forecastRoom } from "./forecastRoom.js";
export { initialLoad } from "./initialLoad.js";
export { initialReturns } from "./initialReturns.js";
export type { KindArrivals } from "./KindArrivals.js";
export type { LoadKind } from "./LoadKind.js";
export type { LoadState } from "./LoadState.js";
export { recordAnswer } from "./recordAnswer.js";
export { retryAfterOf } from "./retryAfterOf.js";
export type { ReturnSchedule } from "./ReturnSchedule.js";
export { shedEndsInMs } from "./shedEndsInMs.js";
export { shortestAnswer } from "./shortestAnswer.js";
export { stepLoad } from "./stepLoad.js";
export { stepReturns } from "./stepReturns.js";
export { waitedMs } from "./waitedMs.js";
