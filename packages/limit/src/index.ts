/** Which requests a VM may send to endpoints that limit the requests a second of all VMs together. */
export type { EndpointLimit } from "./EndpointLimit.js";
export { gatherTurns } from "./gatherTurns.js";
export { hasTurn } from "./hasTurn.js";
export { isExhausted } from "./isExhausted.js";
export { lapseTurns } from "./lapseTurns.js";
export { learnLimit } from "./learnLimit.js";
export type { LimitRow } from "./LimitRow.js";
export type { LimitStatement } from "./LimitStatement.js";
export { limitTiming } from "./limitTiming.js";
export { nextReturn } from "./nextReturn.js";
export { NO_LIMIT } from "./NO_LIMIT.js";
export type { OfferedLoad } from "./OfferedLoad.js";
export { sentLately } from "./sentLately.js";
export { turnsPerRequest } from "./turnsPerRequest.js";
export { useTurn } from "./useTurn.js";
