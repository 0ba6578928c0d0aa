import type { Millis } from "@azureshunt/core";

import { STREAM_LIFE_MS } from "./STREAM_LIFE_MS.js";
import type { VersionHistory } from "./VersionHistory.js";

/**
 * Returns the software version at which every stream must have begun that can still be taken up; `undefined` if that
 * cannot be told, or there were several.
 *
 * That only one version is registered now does not show it: the endpoints of another one may just have left.
 */
export function soleVersion({ coveredSince, versions }: VersionHistory, now: Millis): string | undefined {
    const possible = [...versions].filter(([, { lastAt }]) => now - lastAt <= STREAM_LIFE_MS);
    const isCovered = now - coveredSince >= STREAM_LIFE_MS;
    return isCovered && possible.length === 1 ? possible[0]?.[0] : undefined;
}
