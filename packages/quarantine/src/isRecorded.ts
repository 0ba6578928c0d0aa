import type { Millis } from "@azureshunt/core";

import type { CrashHistory } from "./CrashHistory.js";
import { crashLimits } from "./crashLimits.js";
import type { SuspectKey } from "./SuspectKey.js";

/**
 * Returns whether a death need not be recorded against a suspect: it is known, or it is one more of many at one moment,
 * which do not count. VMs that remembered only the last ones would send each other the others without end.
 */
export function isRecorded({ accusations }: CrashHistory, key: SuspectKey, death: string, now: Millis): boolean {
    const known = accusations.get(key);
    if (known === undefined) {
        return false;
    }
    const lastAt = [...known.values()].at(-1)?.at ?? -Infinity;
    return known.has(death) || (known.size >= crashLimits.deathsOfOne && now - lastAt < crashLimits.momentMs);
}
