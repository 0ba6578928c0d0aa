/** Percentiles of a time in milliseconds. */
export type Percentiles = {
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
};
