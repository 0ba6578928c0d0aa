/** Reading bodies of HTTP requests within bounds. */
export { discardBody } from "./discardBody.js";
export { readBody } from "./readBody.js";
