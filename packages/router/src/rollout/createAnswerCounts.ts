import type { RouteName } from "../configuration/RouteName.js";
import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { RouteCounts } from "./RouteCounts.js";

/** How one try ended, for the comparison of versions. */
type CountedTry = {
    readonly route: RouteName;
    readonly isNew: boolean;
    readonly outcome: TryOutcome;
    /** Status of the endpoint's answer; undefined if there was none. */
    readonly status: number | undefined;
    /** Time to the first byte or event, as a multiple of the estimate by which the request was placed. */
    readonly slowness: number | undefined;
};

/** This VM's counts of the answers of both versions of a service. */
type AnswerCounts = {
    readonly record: (tried: CountedTry) => void;
    readonly rows: () => readonly RouteCounts[];
};

/** An answer is slow if it takes this many times what the old version usually takes. */
const SLOW_FACTOR = 3;
/** Answers within the estimate, which is some tens of milliseconds at least, are never slow: no caller notices them. */
const MIN_SLOWNESS = 1;
/** Weight of the newest answer in the usual time of the old version. */
const NEWEST_WEIGHT = 0.1;
const SERVER_ERROR = 500;

/**
 * Outcomes that tell something about a version. A connection that breaks or cannot be opened tells of a crash or a cut
 * link instead, which may hit any endpoint.
 */
const JUDGED: ReadonlySet<TryOutcome> = new Set(["answered", "failed", "garbled"]);

const emptyCounts = (route: RouteName): RouteCounts => ({
    route,
    newAnswers: 0,
    newBad: 0,
    oldAnswers: 0,
    oldBad: 0,
});

/** Creates the counts, empty. */
export function createAnswerCounts(): AnswerCounts {
    const counts = new Map<RouteName, RouteCounts>();
    const usual = new Map<RouteName, number>();

    const isBad = ({ route, outcome, status, slowness }: CountedTry): boolean =>
        outcome !== "answered" || (status ?? 0) >= SERVER_ERROR
        || (slowness ?? 0) > Math.max(MIN_SLOWNESS, SLOW_FACTOR * (usual.get(route) ?? Infinity));
    const record: AnswerCounts["record"] = tried => {
        if (!JUDGED.has(tried.outcome)) {
            return;
        }
        const { route, isNew, slowness } = tried;
        const before = counts.get(route) ?? emptyCounts(route);
        const bad = isBad(tried) ? 1 : 0;
        counts.set(
            route,
            isNew
                ? { ...before, newAnswers: before.newAnswers + 1, newBad: before.newBad + bad }
                : { ...before, oldAnswers: before.oldAnswers + 1, oldBad: before.oldBad + bad },
        );
        if (!isNew && slowness !== undefined) {
            const known = usual.get(route) ?? slowness;
            usual.set(route, known + (slowness - known) * NEWEST_WEIGHT);
        }
    };
    return { record, rows: () => [...counts.values()] };
}
