/** Bounded reading of HTTP requests, and the end of listeners. */
export { createRequestGate } from "./createRequestGate.js";
export { discardBody } from "./discardBody.js";
export { jsonOf } from "./jsonOf.js";
export { judgeTimeouts } from "./judgeTimeouts.js";
export { maxAnswerHeadBytes } from "./maxAnswerHeadBytes.js";
export { readBody } from "./readBody.js";
export type { SocketReading } from "./SocketReading.js";
export { stopListening } from "./stopListening.js";
