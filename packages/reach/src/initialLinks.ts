import type { LinkState } from "./LinkState.js";

/** The state before any connection was opened. */
const initialLinks: LinkState = { openedAt: new Map(), reachedAt: new Map(), unopened: new Map() };

export { initialLinks };
