import type { Millis } from "@azureshunt/core";

import { timing } from "./timing.js";

/** Returns the slot of a time; buckets record their highest level per slot. */
export function slotAt(now: Millis): number {
    return Math.floor(now / timing.slotMs);
}
