import type { Sample } from "./Sample.js";

/** Adds the newest sample, and drops those that a later one had replaced by the time `keepFrom`. */
export function addSample<T>(
    samples: readonly Sample<T>[],
    sample: Sample<T>,
    keepFrom: number,
): readonly Sample<T>[] {
    const firstKeptIndex = samples.findLastIndex(earlier => earlier.at <= keepFrom);
    return [...samples.slice(Math.max(firstKeptIndex, 0)), sample];
}
