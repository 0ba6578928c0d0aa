/** Whether this VM's own links reach endpoints, and which peers open connections for it. */
export { headStartMs } from "./headStartMs.js";
export { initialLinks } from "./initialLinks.js";
export { isBlocked } from "./isBlocked.js";
export { isCutOff } from "./isCutOff.js";
export type { LinkEvent } from "./LinkEvent.js";
export type { LinkState } from "./LinkState.js";
export { orderPeers } from "./orderPeers.js";
export { stepLinks } from "./stepLinks.js";
