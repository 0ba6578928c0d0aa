export type { ConnectionEnd } from "./ConnectionEnd.js";
export type { Framing } from "./Framing.js";
export { framingOf } from "./framingOf.js";
