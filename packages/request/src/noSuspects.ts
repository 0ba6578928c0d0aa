import type { SuspectState } from "./SuspectState.js";

/** The state of a daemon that has seen no endpoint die. */
const noSuspects: SuspectState = { deaths: [], unjudged: new Map(), quarantined: new Map() };

export { noSuspects };
