/** Returns the median of `values`, the upper one if their number is even; undefined if there are none. */
export function median(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
}
