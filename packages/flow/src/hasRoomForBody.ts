import type { Millis } from "@azureshunt/core";

import { bodyLevels } from "./bodyLevels.js";
import { flowLevels } from "./flowLevels.js";

type BodyQuery = {
    /** What is to be reserved for the body. */
    readonly bytes: number;
    /** What is reserved for other bodies. */
    readonly reservedBytes: number;
    /** What is held for all requests. */
    readonly heldBytes: number;
    /** Part of `reservedBytes` that has not come yet. */
    readonly pendingBytes: number;
    /** Bytes of all buffers, also of those that are not collected yet. */
    readonly bufferBytes: number;
    /** For how long no large body has been let in. */
    readonly unusedMs: Millis;
    readonly budget: number;
};

/**
 * Returns whether a large body is read now. Load: large bodies that arrive together. If each were read while there is
 * room, all would be read in part, none would end, and all would be refused. To prevent this, a body is read only if
 * there is room for its whole length, or if it is the only one, since nothing else would make room for it.
 *
 * Bodies can end faster than their buffers are collected. To prevent that the process grows by many times what it holds,
 * a body waits for a collection, but not for long: none is due while little is allocated.
 */
export function hasRoomForBody(
    { bytes, reservedBytes, heldBytes, pendingBytes, bufferBytes, unusedMs, budget }: BodyQuery,
): boolean {
    const isCollected = bufferBytes + pendingBytes + bytes <= bodyLevels.buffers * budget;
    return reservedBytes === 0
        ? isCollected || unusedMs >= bodyLevels.collectedAfterMs
        : isCollected
            && reservedBytes + bytes <= bodyLevels.reserved * budget
            && heldBytes + pendingBytes + bytes <= flowLevels.high * budget;
}
