/** How often brittle endpoints may be made to refuse requests, and which VM may try them. */
export type { BrittleEvent } from "./BrittleEvent.js";
export type { BrittleState } from "./BrittleState.js";
export { initialBrittle } from "./initialBrittle.js";
export { isBrittle } from "./isBrittle.js";
export { isRisky } from "./isRisky.js";
export { mayTry } from "./mayTry.js";
export { stepBrittle } from "./stepBrittle.js";
