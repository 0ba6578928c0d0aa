/** Which requests are cut off or refused for the bytes that a VM buffers, and which answers make no progress. */
export { boundAt } from "./boundAt.js";
export { budgetOf } from "./budgetOf.js";
export { chooseCuts } from "./chooseCuts.js";
export { connectionLevels } from "./connectionLevels.js";
export { defaultBounds } from "./defaultBounds.js";
export type { EndpointBound } from "./EndpointBound.js";
export { endpointLevels } from "./endpointLevels.js";
export type { FlowBounds } from "./FlowBounds.js";
export { flowLevels } from "./flowLevels.js";
export { hasRoomForHead } from "./hasRoomForHead.js";
export { headCost } from "./headCost.js";
export type { HeldRequest } from "./HeldRequest.js";
export { isExhausted } from "./isExhausted.js";
export { isOnceExhausted } from "./isOnceExhausted.js";
export { isStalled } from "./isStalled.js";
export { lowerBound } from "./lowerBound.js";
export { readAheadOf } from "./readAheadOf.js";
export { unreadByAll } from "./unreadByAll.js";
