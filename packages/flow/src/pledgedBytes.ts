import type { Millis } from "@azureshunt/core";

import { bodyLevels } from "./bodyLevels.js";

/** A large body that is being read, or that is held for its request. */
type ReservedBody = {
    /** Its length, as far as it is known. */
    readonly bytes: number;
    readonly readBytes: number;
    readonly isWhole: boolean;
    readonly readSince: Millis;
    /** Bytes that came within the last `paceMs`. */
    readonly recentBytes: number;
};

/**
 * Returns what is reserved for a body. Load: callers that send large bodies slowly. If their whole length stayed reserved,
 * a few of them would keep out all others until their deadlines.
 */
export function pledgedBytes(body: ReservedBody, now: Millis): number {
    const { bytes, readBytes, isWhole, readSince, recentBytes } = body;
    if (isWhole) {
        return readBytes;
    }
    return now - readSince < bodyLevels.paceMs
        ? Math.max(bytes, readBytes)
        : Math.max(readBytes, Math.min(bytes, readBytes + Math.max(bodyLevels.minAheadBytes, recentBytes)));
}
