/** Returns the first item with the lowest value; undefined if there are no items. */
export function lowestBy<Item>(items: readonly Item[], valueOf: (item: Item) => number): Item | undefined {
    return items
        .map(item => ({ item, value: valueOf(item) }))
        .reduce<{ item: Item; value: number; } | undefined>(
            (best, each) => best === undefined || each.value < best.value ? each : best,
            undefined,
        )?.item;
}
