/**
 * Returns an index, each with a probability in proportion to its weight.
 *
 * @param point random number, uniform in [0, 1)
 */
export function chooseWeighted(weights: readonly number[], point: number): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const target = point * total;
    const sums = weights.reduce<number[]>((before, weight) => [...before, (before.at(-1) ?? 0) + weight], []);
    const index = sums.findIndex(sum => target < sum);
    return index < 0 ? weights.length - 1 : index;
}
