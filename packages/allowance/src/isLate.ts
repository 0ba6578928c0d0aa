import type { Millis } from "@azureshunt/core";

import type { HeldGrant } from "./HeldGrant.js";
import { timing } from "./timing.js";

/** Returns whether the pending ask has waited for its answer longer than homes usually take. */
export function isLate(held: HeldGrant, now: Millis): boolean {
    return held.pendingSince !== undefined && held.pendingSince + timing.askLateMs <= now;
}
