import type { Millis } from "@azureshunt/core";

import type { HeldGrant } from "./HeldGrant.js";
import { timing } from "./timing.js";

/** Whether the ask under way has waited for its answer for longer than homes usually take. */
export function isLate(held: HeldGrant, now: Millis): boolean {
    return held.pendingSince !== undefined && held.pendingSince + timing.askLateMs <= now;
}
