import type { Millis } from "@azureshunt/core";

import { isComplete } from "./isComplete.js";
import { recentVersions } from "./recentVersions.js";
import type { VersionHistory } from "./VersionHistory.js";

/**
 * Returns the software version at which every stream must have begun that can still be taken up; `undefined` if that
 * cannot be told, or there were several.
 *
 * That only one version is registered now does not show it: the endpoints of another one may just have left.
 */
export function soleVersion(history: VersionHistory, now: Millis): string | undefined {
    const [version, ...others] = recentVersions(history.versions, now).keys();
    return isComplete(history, now) && others.length === 0 ? version : undefined;
}
