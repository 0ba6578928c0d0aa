import type { Sample } from "./Sample.js";

/**
 * Returns the value that held at a time.
 *
 * @param samples ordered by time
 * @returns the first value if all samples are later; `undefined` if there are none
 */
export function sampleAt<T>(samples: readonly Sample<T>[], at: number): T | undefined {
    return (samples.findLast(sample => sample.at <= at) ?? samples[0])?.value;
}
