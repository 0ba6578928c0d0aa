import type { Millis } from "@azureshunt/core";

import { peerTiming } from "./peerTiming.js";

/** Returns whether a VM was seen lately enough to be relied on, by this VM or by a relay. */
export function isAlive({ lastSeenAt }: { readonly lastSeenAt: Millis; }, now: Millis): boolean {
    return now - lastSeenAt < peerTiming.aliveMs;
}
