import type { Millis } from "@azureshunt/core";

import { timing } from "./timing.js";

/** Slot of a bucket's memory of levels that a moment falls into. */
export function slotAt(now: Millis): number {
    return Math.floor(now / timing.slotMs);
}
