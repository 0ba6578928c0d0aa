import type { Millis } from "@azureshunt/core";

import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { OwnIntent } from "./OwnIntent.js";

/**
 * Marks an intent as begun, right before the first byte goes out.
 *
 * Failure guarded against: the process is paused between reading its intent back and sending, for so long that the window
 * ends and another VM runs the request. The bound counts from before the append and is far below the window. An intent
 * that was withdrawn, or begun before, is not begun again.
 *
 * @returns undefined when the intent may not be used any more
 */
export function beginIntent(own: OwnIntent, now: Millis): OwnIntent | undefined {
    const isInTime = now - own.since < INTENT_LIMITS.beginMs;
    return own.phase === "open" && isInTime ? { ...own, phase: "begun" } : undefined;
}
