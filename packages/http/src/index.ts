/** Reading bodies of HTTP requests within bounds. */
export { discardBody } from "./discardBody.js";
export { jsonOf } from "./jsonOf.js";
export { readBody } from "./readBody.js";
