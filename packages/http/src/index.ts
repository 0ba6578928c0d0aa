/** Bounded reading of HTTP bodies, and the end of listeners. */
export { discardBody } from "./discardBody.js";
export { jsonOf } from "./jsonOf.js";
export { readBody } from "./readBody.js";
export { stopListening } from "./stopListening.js";
