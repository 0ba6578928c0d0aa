import type { Millis } from "@azureshunt/core";

import type { CrashHistory } from "./CrashHistory.js";
import { crashLimits } from "./crashLimits.js";
import type { SuspectKey } from "./SuspectKey.js";

const countMoments = (times: readonly Millis[]): number =>
    times.toSorted((a, b) => a - b).reduce<{ readonly count: number; readonly last: Millis; }>(
        ({ count, last }, at) => at - last < crashLimits.momentMs ? { count, last } : { count: count + 1, last: at },
        { count: 0, last: -Infinity },
    ).count;

/**
 * Returns the number of deaths that count against a suspect.
 *
 * Endpoints crash on what they have just begun to answer. So where an answer had its head and no event, what else was
 * there is no suspect; each such death counts against a part that was never answered. Any other evidence is weak, as
 * endpoints that share a rack die at one moment, with all that wait there: it counts once for each moment, and half at
 * several ones. An answer shows that the deaths before it had another cause, and those after it count once for each moment.
 */
export function countedDeaths({ accusations, begunDeaths, answers }: CrashHistory, key: SuspectKey): number {
    const answeredAt = answers.get(key);
    const counted = [...accusations.get(key) ?? []]
        .filter(([death, { at, stage }]) =>
            at > (answeredAt ?? -Infinity) && (stage !== "unsettled" || !begunDeaths.has(death))
        )
        .map(([, accusation]) => accusation);
    const moments = countMoments(counted.map(({ at }) => at));
    if (answeredAt !== undefined) {
        return moments;
    }
    const strong = counted.filter(({ stage }) => stage !== "unsettled").length;
    const weak = moments > 1 ? Math.floor((counted.length - strong) / crashLimits.weakDeaths) : 0;
    return Math.max(moments, strong + weak);
}
