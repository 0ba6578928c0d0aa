import type { Millis } from "@azureshunt/core";

import type { GossipMessage } from "./GossipMessage.js";
import { needsPeers } from "./needsPeers.js";
import type { ReaderState } from "./ReaderState.js";

/** Builds the gossip message that describes this daemon's configuration. */
export function gossipOf(state: ReaderState, now: Millis): GossipMessage {
    const { fold, confirmedAt } = state;
    return {
        revision: fold.configuration.revision,
        offset: fold.offset,
        digest: fold.digest,
        confirmedWithinMs: confirmedAt === undefined ? 0 : Math.max(1, Math.ceil(now - confirmedAt)),
        wantsSnapshot: needsPeers(state, now),
    };
}
