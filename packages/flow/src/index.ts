/** Which requests are cut off or refused for the bytes that a VM buffers, and which answers make no progress. */
export { budgetOf } from "./budgetOf.js";
export { chooseCuts } from "./chooseCuts.js";
export { defaultBounds } from "./defaultBounds.js";
export type { FlowBounds } from "./FlowBounds.js";
export { flowLevels } from "./flowLevels.js";
export type { HeldRequest } from "./HeldRequest.js";
export { isExhausted } from "./isExhausted.js";
export { isOnceExhausted } from "./isOnceExhausted.js";
export { isStalled } from "./isStalled.js";
export { readAheadOf } from "./readAheadOf.js";
