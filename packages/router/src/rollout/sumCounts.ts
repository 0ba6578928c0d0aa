import type { RouteName } from "../configuration/RouteName.js";
import type { RouteCounts } from "./RouteCounts.js";

const add = (a: RouteCounts, b: RouteCounts): RouteCounts => ({
    route: a.route,
    newAnswers: a.newAnswers + b.newAnswers,
    newBad: a.newBad + b.newBad,
    oldAnswers: a.oldAnswers + b.oldAnswers,
    oldBad: a.oldBad + b.oldBad,
});

/** Adds up the counts of several VMs by route. */
export function sumCounts(rows: readonly RouteCounts[]): readonly RouteCounts[] {
    const sums = rows.reduce((known, row) => {
        const before = known.get(row.route);
        return known.set(row.route, before === undefined ? row : add(before, row));
    }, new Map<RouteName, RouteCounts>());
    return [...sums.values()];
}
