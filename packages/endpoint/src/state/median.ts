/** Gives the middle of some numbers; undefined when there are none. */
export function median(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
}
