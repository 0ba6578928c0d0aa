/** Bounded reading of HTTP requests, and the end of listeners. */
export type { CallerDrainPhase } from "./CallerDrainPhase.js";
export { createArrivalQueue } from "./createArrivalQueue.js";
export { createByteQueue } from "./createByteQueue.js";
export { createCallerConnections } from "./createCallerConnections.js";
export { createDrainLog } from "./createDrainLog.js";
export { createRequestGate } from "./createRequestGate.js";
export { cutAnswer } from "./cutAnswer.js";
export { discardBody } from "./discardBody.js";
export { drainCallers } from "./drainCallers.js";
export { isFinalStatus } from "./isFinalStatus.js";
export { joinChunks } from "./joinChunks.js";
export { jsonOf } from "./jsonOf.js";
export { judgeTimeouts } from "./judgeTimeouts.js";
export { maxAnswerHeadBytes } from "./maxAnswerHeadBytes.js";
export { maxReportBytes } from "./maxReportBytes.js";
export { readBody } from "./readBody.js";
export type { SocketReading } from "./SocketReading.js";
export { stopListening } from "./stopListening.js";
