import type { BrittleState } from "./BrittleState.js";

/** The state while no endpoint has said that it is brittle. */
const initialBrittle: BrittleState = { maxRefusals: Infinity, announcedAt: -Infinity, tries: new Map() };

export { initialBrittle };
