import type { Millis } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Maximum age of a process whose first counter here is debited whole: a process sends its first spending within this
 * time. The counter of an older process contains spending that was already received: its own through relays, or, if it
 * became a relay, that of others through earlier relays.
 */
const FIRST_UPDATE_MS: Millis = 3_000;

/** Returns whether a process started after an allowance was opened here, and is at most 3 s old. */
export function isStartedLater({ openedAt }: Pick<SharedAllowance, "openedAt">, upMs: Millis, now: Millis): boolean {
    return upMs <= Math.min(FIRST_UPDATE_MS, now - openedAt);
}
