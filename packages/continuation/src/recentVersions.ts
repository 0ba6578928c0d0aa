import type { Millis } from "@azureshunt/core";

import { STREAM_LIFE_MS } from "./STREAM_LIFE_MS.js";
import type { VersionHistory } from "./VersionHistory.js";

/** Selects the versions at which streams can have begun that can still be taken up. */
export function recentVersions(versions: VersionHistory["versions"], now: Millis): VersionHistory["versions"] {
    return new Map([...versions].filter(([, { lastAt }]) => now - lastAt <= STREAM_LIFE_MS));
}
