import type { Sample } from "./Sample.js";

/**
 * Finds the value that held at a moment.
 *
 * @param samples in order of time
 * @returns the first value when all samples are later; undefined when there is none
 */
export function sampleAt<T>(samples: readonly Sample<T>[], at: number): T | undefined {
    return (samples.findLast(sample => sample.at <= at) ?? samples[0])?.value;
}
