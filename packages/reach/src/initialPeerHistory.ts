import type { PeerHistory } from "./PeerHistory.js";

/** The state before any peer was asked. */
const initialPeerHistory: PeerHistory = { services: new Map(), named: new Map() };

export { initialPeerHistory };
