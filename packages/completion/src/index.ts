/** Whether an answer that has ended is whole. */
export type { AnswerEnd } from "./AnswerEnd.js";
export type { ConnectionEnd } from "./ConnectionEnd.js";
export type { EndpointStatement } from "./EndpointStatement.js";
export type { EndVerdict } from "./EndVerdict.js";
export type { Framing } from "./Framing.js";
export { framingOf } from "./framingOf.js";
export { isSameRun } from "./isSameRun.js";
export { judgeEnd } from "./judgeEnd.js";
export { judgeTunnelEnd } from "./judgeTunnelEnd.js";
export type { TunnelEnd } from "./TunnelEnd.js";
export type { TunnelEvent } from "./TunnelEvent.js";
