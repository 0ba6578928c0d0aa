import type { SuspectState } from "./SuspectState.js";

/** Initial state, before any endpoint has died. */
const noSuspects: SuspectState = { deaths: [], unjudged: new Map(), quarantined: new Map() };

export { noSuspects };
