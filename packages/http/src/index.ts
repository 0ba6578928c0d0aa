/** Bounded reading of HTTP bodies. */
export { discardBody } from "./discardBody.js";
export { jsonOf } from "./jsonOf.js";
export { readBody } from "./readBody.js";
export { stopListening } from "./stopListening.js";
