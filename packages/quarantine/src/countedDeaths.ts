import type { Millis } from "@azureshunt/core";

import type { CrashHistory } from "./CrashHistory.js";
import { crashLimits } from "./crashLimits.js";
import type { SuspectKey } from "./SuspectKey.js";

/**
 * Returns the number of deaths that count against a suspect.
 *
 * Endpoints crash on what they begin to answer. So where an answer had just begun, what waited there is no suspect; and
 * an answer shows that the deaths before it had another cause.
 */
export function countedDeaths({ accusations, begunDeaths, answers }: CrashHistory, key: SuspectKey): number {
    const answeredAt = answers.get(key);
    const times = [...accusations.get(key) ?? []]
        .filter(([death, { at, stage }]) =>
            at > (answeredAt ?? -Infinity) && (stage !== "waiting" || !begunDeaths.has(death))
        )
        .map(([, { at }]) => at)
        .toSorted((a, b) => a - b);
    if (answeredAt === undefined) {
        return times.length;
    }
    return times.reduce<{ readonly count: number; readonly last: Millis; }>(
        ({ count, last }, at) => at - last < crashLimits.momentMs ? { count, last } : { count: count + 1, last: at },
        { count: 0, last: -Infinity },
    ).count;
}
