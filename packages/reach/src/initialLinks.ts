import type { LinkState } from "./LinkState.js";

/** The state before any connection was opened. */
const initialLinks: LinkState = { openedAt: new Map(), answeredAt: new Map(), unopened: new Map() };

export { initialLinks };
