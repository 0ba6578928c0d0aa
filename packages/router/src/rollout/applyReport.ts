import type { CountsReport } from "./CountsReport.js";
import type { RouteCounts } from "./RouteCounts.js";
import { sumCounts } from "./sumCounts.js";
import type { VmCounts } from "./VmCounts.js";

type Rows = readonly RouteCounts[];

/**
 * Processes of one VM whose totals are kept apart. A report of an earlier one would count twice, but it arrives within
 * seconds or never, and a VM does not start that often in them.
 */
const MAX_PROCESSES = 4;

const FIELDS = ["newAnswers", "newBad", "oldAnswers", "oldBad"] as const;

const isBelow = (row: RouteCounts | undefined, other: RouteCounts): boolean =>
    FIELDS.some(field => (row?.[field] ?? 0) < other[field]);

/** Returns the later one of two totals of one process, by route: its counts only grow. */
const laterOf = (before: Rows, rows: Rows): Rows => {
    const known = new Map(before.map(row => [row.route, row]));
    rows.forEach(row => {
        const other = known.get(row.route);
        if (other === undefined || isBelow(other, row)) {
            known.set(row.route, row);
        }
    });
    return [...known.values()];
};

const hasShrunk = (before: Rows, rows: Rows): boolean =>
    before.some(row => isBelow(rows.find(({ route }) => route === row.route), row));

/**
 * Applies the totals that a process of a VM reported.
 *
 * Totals are those of one process. If the first ones of a restarted process replaced those of the ended one, the sums of
 * the fleet would fall, and the leader would judge a version by answers that it takes back: a good version can be found
 * bad, and a bad one good. So each process has its own totals, and the sums only grow.
 *
 * Within one process, a report with smaller totals was overtaken by a newer one, and changes nothing. A report that does
 * not say which process sent it may be of a new one, and is taken for that if any count shrank.
 */
export function applyReport(
    before: VmCounts,
    { incarnation, rows }: Pick<CountsReport, "incarnation" | "rows">,
): VmCounts {
    const known = before.byProcess.get(incarnation) ?? [];
    const isRestart = incarnation === undefined && hasShrunk(known, rows);
    const byProcess = new Map(before.byProcess).set(incarnation, isRestart ? rows : laterOf(known, rows));
    const dropped = [...byProcess].slice(0, Math.max(0, byProcess.size - MAX_PROCESSES));
    dropped.forEach(([each]) => byProcess.delete(each));
    return {
        ended: sumCounts([...before.ended, ...(isRestart ? known : []), ...dropped.flatMap(([, totals]) => totals)]),
        byProcess,
    };
}
