import type { LinkState } from "./LinkState.js";

/** The state before any connection was opened. */
const initialLinks: LinkState = { openedAt: -Infinity, bypassedAt: new Map() };

export { initialLinks };
