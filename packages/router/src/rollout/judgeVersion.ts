import type { RouteCounts } from "./RouteCounts.js";
import type { VersionJudgement } from "./VersionJudgement.js";

/** Answers that the estimate of the old version's bad fraction starts from, and how many of them are bad. */
const PRIOR_ANSWERS = 20;
const PRIOR_BAD = 0.5;
/** A bad version has this many times the bad fraction of the old one, and at least this much more. */
const BAD_FACTOR = 3;
const BAD_EXCESS = 0.2;
const MAX_BAD_FRACTION = 0.95;
/** Score from which a version is bad: six failures in a row where the old version fails on one request in twenty. */
const BAD_SCORE = 9;

const addedScore = (before: RouteCounts | undefined, now: RouteCounts): number => {
    const bad = now.newBad - (before?.newBad ?? 0);
    const good = now.newAnswers - (before?.newAnswers ?? 0) - bad;
    const usual = (now.oldBad + PRIOR_BAD) / (now.oldAnswers + PRIOR_ANSWERS);
    const ifBad = Math.min(MAX_BAD_FRACTION, Math.max(usual * BAD_FACTOR, usual + BAD_EXCESS));
    return bad * Math.log(ifBad / usual) + good * Math.log((1 - ifBad) / (1 - usual));
};

/**
 * Judges a new version by its answers beside those of the old version of the same moments, route by route: a sequential
 * test (cumulative sum of log-likelihood ratios).
 *
 * A version may fail at once, only after a while, only under load, or on one route alone. Compared by its totals, the
 * good answers from before would hide the failures for long; so a score never falls below 0, and each route has its own.
 * Failures that the old version has as well do not count against the new one.
 *
 * @param counts totals of all VMs since the order; they must not shrink
 */
export function judgeVersion(before: VersionJudgement, counts: readonly RouteCounts[]): VersionJudgement {
    const scores = new Map(counts.map(each => {
        const score = (before.scores.get(each.route) ?? 0) + addedScore(before.counts.get(each.route), each);
        return [each.route, Math.max(0, score)] as const;
    }));
    const bad = [...scores].find(([, score]) => score >= BAD_SCORE);
    return {
        counts: new Map(counts.map(each => [each.route, each])),
        scores,
        badRoute: before.badRoute ?? bad?.[0],
    };
}
