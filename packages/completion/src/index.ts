export type { ConnectionEnd } from "./ConnectionEnd.js";
export type { Framing } from "./Framing.js";
export { framingOf } from "./framingOf.js";
export { judgeTunnelEnd } from "./judgeTunnelEnd.js";
export type { TunnelEnd } from "./TunnelEnd.js";
export type { TunnelEvent } from "./TunnelEvent.js";
