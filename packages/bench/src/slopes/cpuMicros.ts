const BATCHES = 5;

/**
 * Returns the CPU time of one call of a function in microseconds: the median of five batches, after one for warm-up.
 *
 * @param calls calls per batch
 * @param measured called with the number of the call within its batch, from 0
 */
export function cpuMicros(calls: number, measured: (i: number) => void): number {
    const runBatch = (): number => {
        const before = process.cpuUsage();
        Array.from({ length: calls }, (_, i) => i).forEach(measured);
        const { user, system } = process.cpuUsage(before);
        return (user + system) / calls;
    };
    runBatch();
    const times = Array.from({ length: BATCHES }, runBatch).toSorted((a, b) => a - b);
    return times[Math.floor(BATCHES / 2)] ?? 0;
}
