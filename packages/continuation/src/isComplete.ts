import type { Millis } from "@azureshunt/core";

import { STREAM_LIFE_MS } from "./STREAM_LIFE_MS.js";
import type { VersionHistory } from "./VersionHistory.js";

/** Returns whether a history goes back to the beginning of all streams that can still be taken up. */
export function isComplete({ coveredSince }: VersionHistory, now: Millis): boolean {
    return now - coveredSince >= STREAM_LIFE_MS;
}
