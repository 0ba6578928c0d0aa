import type { PeerHistory } from "./PeerHistory.js";

/** The state before any peer was asked. */
const initialPeerHistory: PeerHistory = {
    avoidedUntil: new Map(),
    openedAt: new Map(),
    outdoneAt: new Map(),
    named: new Map(),
};

export { initialPeerHistory };
