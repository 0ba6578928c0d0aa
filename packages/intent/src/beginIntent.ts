import type { Millis } from "@azureshunt/core";

import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { OwnIntent } from "./OwnIntent.js";

/**
 * Marks an intent as begun, right before the first byte of the request is sent.
 *
 * If the process is suspended between reading its intent back and sending, the window may end meanwhile and another VM
 * may run the request as well. To prevent this, an intent may begin only within a time that is measured from before the
 * append and is far below the window. An intent that was withdrawn, or has already begun, does not begin again.
 *
 * @returns `undefined` if the intent may not be used any more
 */
export function beginIntent(own: OwnIntent, now: Millis): OwnIntent | undefined {
    const isInTime = now - own.since < INTENT_LIMITS.maxBeginDelayMs;
    return own.phase === "open" && isInTime ? { ...own, phase: "begun" } : undefined;
}
