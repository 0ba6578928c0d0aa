import { build } from "hdr-histogram-js";

import type { Percentiles } from "./Percentiles.js";

const US_PER_MS = 1_000;
const MAX_US = 120_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Computes percentiles of times in milliseconds with a histogram of three significant digits; all are 0 without times. */
export function percentilesOf(times: readonly number[]): Percentiles {
    const histogram = build({
        highestTrackableValue: MAX_US,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    times.forEach(ms => histogram.recordValue(Math.min(Math.max(Math.round(ms * US_PER_MS), 1), MAX_US)));
    const at = (percentile: number): number =>
        times.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return { count: times.length, p50: at(50), p95: at(95), p99: at(99) };
}
