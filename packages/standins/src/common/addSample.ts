import type { Sample } from "./Sample.js";

/** Adds the newest value, and forgets those that were replaced before a moment. */
export function addSample<T>(
    samples: readonly Sample<T>[],
    sample: Sample<T>,
    keepFrom: number,
): readonly Sample<T>[] {
    const firstKept = samples.findLastIndex(earlier => earlier.at <= keepFrom);
    return [...samples.slice(Math.max(firstKept, 0)), sample];
}
