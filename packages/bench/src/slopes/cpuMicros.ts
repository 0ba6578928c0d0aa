const BATCHES = 5;

/**
 * Processor time of one call of a function in microseconds: the median of five batches, after one that warms it up.
 *
 * @param calls calls in a batch
 */
export function cpuMicros(calls: number, act: (i: number) => void): number {
    const batch = (): number => {
        const begun = process.cpuUsage();
        Array.from({ length: calls }, (_, i) => i).forEach(act);
        const { user, system } = process.cpuUsage(begun);
        return (user + system) / calls;
    };
    batch();
    const times = Array.from({ length: BATCHES }, batch).toSorted((a, b) => a - b);
    return times[Math.floor(BATCHES / 2)] ?? 0;
}
