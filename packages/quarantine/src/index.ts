/** Which requests and prompt parts crash endpoints, and are not run. */
export { createSuspects } from "./createSuspects.js";
export { partKeysOf } from "./partKeysOf.js";
export type { Suspect } from "./Suspect.js";
export type { SuspectKey } from "./SuspectKey.js";
export type { SuspectRows } from "./SuspectRows.js";
